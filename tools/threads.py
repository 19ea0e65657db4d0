#!/usr/bin/env python3
"""Prints the processor time of all entry processes of this machine by thread, mean of a process.

Usage: tools/threads.py, while entry processes run. Reads /proc only; Linux.
"""
import collections
import os

SHOWN = 24
TICKS_A_SECOND = os.sysconf("SC_CLK_TCK")
ENTRY = "landingtrack.jar\0entry"


def processes():
    """Returns the ids of the entry processes."""
    found = []
    for pid in filter(str.isdigit, os.listdir("/proc")):
        try:
            with open(f"/proc/{pid}/cmdline", encoding="utf-8") as line:
                if ENTRY in line.read():
                    found.append(pid)
        except FileNotFoundError:
            continue
    return found


def threads(pid):
    """Yields the name of each thread without digits, its own and its kernel seconds, and its waits."""
    for tid in os.listdir(f"/proc/{pid}/task"):
        with open(f"/proc/{pid}/task/{tid}/stat", encoding="utf-8") as stat:
            line = stat.read()
        name = "".join(c for c in line[line.index("(") + 1 : line.rindex(")")] if not c.isdigit())
        fields = line[line.rindex(")") + 2 :].split()
        waits = 0
        with open(f"/proc/{pid}/task/{tid}/status", encoding="utf-8") as status:
            for entry in status:
                if entry.startswith("voluntary"):
                    waits = int(entry.split()[1])
        yield name, int(fields[11]) / TICKS_A_SECOND, int(fields[12]) / TICKS_A_SECOND, waits


def main():
    own, kernel, waits = collections.Counter(), collections.Counter(), collections.Counter()
    sums = []
    for pid in processes():
        used = 0
        try:
            for name, user, system, waited in threads(pid):
                own[name] += user
                kernel[name] += system
                waits[name] += waited
                used += user + system
        except FileNotFoundError:
            continue
        sums.append(used)
    if not sums:
        print("no entry process runs here")
        return
    count = len(sums)
    print("%d processes, %.1f s own, %.1f s kernel" % (count, sum(own.values()), sum(kernel.values())))
    print("least %.2f s, most %.2f s a process" % (min(sums), max(sums)))
    for name, seconds in own.most_common(SHOWN):
        row = (name, seconds / count, kernel[name] / count, waits[name] / count)
        print("%-18s own %.3f s, kernel %.3f s, waited %.0f times" % row)


if __name__ == "__main__":
    main()
