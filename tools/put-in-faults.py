#!/usr/bin/env python3
"""Puts the faults of faults.txt into a copy of the sources, one at a time, and runs the test that
must find each. Prints a line a fault; ends with 1 if a test did not see its fault.

Usage: tools/put-in-faults.py COPY [WORD...]
COPY is a clone of this repository that may be changed; with words only faults that name one of them.
"""
import pathlib
import subprocess
import sys

PACKAGES = {
    "landingtrack": "landingtrack/src/main/java/org/landingtrack/internal/",
    "platform": "platform/src/main/java/org/landingtrack/platform/",
}
MAVEN = ["mvn", "-q", "-B", "-Pdeploy", "test", "-pl", "landingtrack,platform",
         "-Dsurefire.failIfNoSpecifiedTests=false"]


def faults():
    """Returns the fields of each fault."""
    table = pathlib.Path(__file__).with_name("faults.txt").read_text()
    for line in table.splitlines():
        if line and not line.startswith("#"):
            plain = line.replace("\\|", "\0")
            yield [field.strip().replace("\0", "|").replace("\\n", "\n")
                   for field in plain.split(" | ")]


def run(copy, test):
    """Runs a test in the copy; returns whether it failed, and not by failing to compile."""
    result = subprocess.run(MAVEN + ["-Dtest=" + test], cwd=copy, text=True,
                            stdout=subprocess.PIPE, stderr=subprocess.STDOUT, check=False)
    if "COMPILATION ERROR" in result.stdout:
        return "does not compile"
    return "red" if result.returncode else "GREEN: not found"


def main():
    copy = pathlib.Path(sys.argv[1])
    words = sys.argv[2:]
    missed = 0
    for rule, module, name, before, after, test in faults():
        if words and not any(word in rule + " " + test for word in words):
            continue
        path = copy / PACKAGES[module] / (name + ".java")
        text = path.read_text()
        if text.count(before) != 1:
            outcome = "the text stands there %d times" % text.count(before)
        else:
            path.write_text(text.replace(before, after))
            outcome = run(copy, test)
            path.write_text(text)
        missed += outcome != "red"
        print("%-20s %-70s %s" % (rule, test, outcome), flush=True)
    return 1 if missed else 0


if __name__ == "__main__":
    sys.exit(main())
