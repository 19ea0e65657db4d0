#!/usr/bin/env python3
"""Prints what each day of journal entries lost of its worth, and to what, the largest first.

Usage: tools/budget.py journal/ENTRY.json...
"""
import collections
import json
import sys

SHOWN = 9
SMALLEST = 0.001


def losses(day):
    """Returns the worth that a day lost, by cause."""
    lost = {name: weight * (1 - value) for name, weight, value in day["parts"]}
    for name, _, price in day["prices"]:
        lost[name] = price
    return lost


def main():
    total = collections.Counter()
    days = []
    for path in sys.argv[1:]:
        with open(path, encoding="utf-8") as entry:
            for day in json.load(entry)["days"]:
                if day.get("parts"):
                    days.append((day["name"], day["G"], losses(day)))
                    total.update(days[-1][2])
    causes = [name for name, _ in total.most_common(SHOWN)]
    print("| day | worth | " + " | ".join(causes) + " | rest |")
    print("|" + "---|" * (len(causes) + 3))
    mean = {name: value / len(days) for name, value in total.items()}
    worth = sum(day[1] for day in days) / len(days)
    for name, value, lost in days[:12] + [("mean of %d days" % len(days), worth, mean)]:
        cells = ["%.3f" % lost.get(cause, 0) for cause in causes]
        rest = sum(lost.values()) - sum(lost.get(cause, 0) for cause in causes)
        print("| %s | %.3f | %s | %.3f |" % (name, value, " | ".join(cells), rest))
    left_out = [name for name, value in mean.items() if SMALLEST <= value and name not in causes]
    print("In the rest: " + (", ".join(left_out) or "nothing of note") + ".")


if __name__ == "__main__":
    main()
