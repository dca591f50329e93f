#!/bin/sh
here=$(CDPATH= cd -- "$(dirname -- "$0")" && pwd)
exec "$here/../standins-2/run-case.sh" Coordinators "$here"
