#!/bin/bash
# Runs the case of claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
folder=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
exec bash "$folder/../standins-2/run-case.sh" "$folder" KeyedCase
