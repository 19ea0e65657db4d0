#!/usr/bin/env python3
"""Tells from the logs of one played day what VMs believed of engines and what came of it.

Usage: tools/lost.py LOGS [--step SECONDS]

LOGS is the output of a played day with the logs of all VMs, each line with the simulated time and
the VM before it. Lines that are no log lines, or were cut, are passed over and counted.

The first table has one row a step: prompts sent to engines, their tokens a second, the shares that
were believed to be kept and to be fetched, the expected and the true time to the first event, the
time for which requests waited at their VM, and what ended without an answer. The second one tells
by how much first events came later than expected, by the tokens of its memory that an engine's
requests needed at that time.
"""
import argparse
import collections
import json
import sys

MEMORY_STEP = 10_000


def events(path):
    """Yields (seconds, fields) of each log line, and says at the end how many were unreadable."""
    unreadable = 0
    with open(path, encoding="utf-8") as lines:
        for line in lines:
            start = line.find('{"time"')
            if start < 0:
                continue
            try:
                yield float(line[:start].split()[0]), json.loads(line[start:])
            except (ValueError, IndexError):
                unreadable += 1
    if unreadable:
        print(f"{path}: {unreadable} lines could not be read", file=sys.stderr)


def is_engine_send(fields):
    return fields["event"] == "routed" and fields["promptTokens"] > 0


def steps(log, step):
    """Returns the sums of each step."""
    rows = collections.defaultdict(collections.Counter)
    sent = {}
    for seconds, fields in log:
        row = rows[int(seconds // step) * step]
        event = fields["event"]
        if is_engine_send(fields):
            sent[fields["requestId"], fields["server"]] = fields
            row["sent"] += 1
            for name in ("promptTokens", "keptTokens", "fetchedTokens", "ageMs"):
                row[name] += fields[name]
        elif event == "answered":
            send = sent.get((fields["requestId"], fields["server"]))
            if send:
                row["answered"] += 1
                row["expectedMs"] += send["expectedMs"]
                row["trueMs"] += fields["firstMs"] - send["ageMs"]
        elif event in ("refused", "cut"):
            row[event] += 1
    return rows


def lateness(log):
    """Returns how late first events came, by the memory that the engine's requests needed."""
    needed = collections.defaultdict(dict)
    sends = {}
    late = collections.defaultdict(list)
    for _, fields in sorted(log, key=lambda each: each[0]):
        request = fields.get("requestId")
        if is_engine_send(fields):
            server = fields["server"]
            sends[request] = (fields, sum(needed[server].values()))
            needed[server][request] = fields["promptTokens"]
        elif request in sends and fields["event"] in ("answered", "cut", "refused", "try failed"):
            send, before = sends.pop(request)
            needed[send["server"]].pop(request, None)
            if fields["event"] == "answered":
                true_ms = fields["firstMs"] - send["ageMs"]
                late[before // MEMORY_STEP].append(true_ms - send["expectedMs"])
    return late


def print_steps(rows, step):
    print("| from s | sent | tokens/s | kept | fetched | waited ms | expected ms | true ms |"
          " refused | cut |")
    print("|" + "---|" * 10)
    for start in sorted(rows):
        row = rows[start]
        if not row["sent"] and not row["refused"] and not row["cut"]:
            continue
        sent, prompt, answered = (max(1, row[n]) for n in ("sent", "promptTokens", "answered"))
        print("| %d | %d | %d k | %.2f | %.2f | %d | %d | %d | %d | %d |" % (
            start, row["sent"], row["promptTokens"] / step / 1000, row["keptTokens"] / prompt,
            row["fetchedTokens"] / prompt, row["ageMs"] / sent, row["expectedMs"] / answered,
            row["trueMs"] / answered, row["refused"], row["cut"]))


def print_lateness(late):
    print("\n| tokens needed before | requests | mean late ms | median late ms |")
    print("|" + "---|" * 4)
    for at in sorted(late):
        values = sorted(late[at])
        print("| %d k | %d | %d | %d |" % (
            at * MEMORY_STEP // 1000, len(values), sum(values) / len(values),
            values[len(values) // 2]))


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("logs")
    parser.add_argument("--step", type=int, default=2, help="seconds in one row")
    arguments = parser.parse_args()
    if arguments.step < 1:
        parser.error("--step must be 1 or more")
    try:
        log = list(events(arguments.logs))
    except OSError as error:
        parser.error(str(error))
    if not log:
        parser.error(f"{arguments.logs} holds no log lines")
    print_steps(steps(log, arguments.step), arguments.step)
    print_lateness(lateness(log))


if __name__ == "__main__":
    main()
