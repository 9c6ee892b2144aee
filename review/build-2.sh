#!/bin/sh
# Prepares the stand-ins of the cases 6 to 10. They are Python programs, so this checks that they can be run.
cd "$(dirname "$0")" || exit 2
exec python3 - <<'CHECK'
import ast
import asyncio
import pathlib

for name in sorted([*pathlib.Path("standins-2").glob("*.py"), *pathlib.Path(".").glob("[0-9]*/case.py")]):
    ast.parse(name.read_text(encoding="utf-8"), str(name))
CHECK
