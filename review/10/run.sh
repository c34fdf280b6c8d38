#!/bin/bash
# Exit code: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0 leaves the
# disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/kit-2/bin/kit-2 ] || exit 2
exec review/kit-2/bin/kit-2 -case crashing-part -out review/10
