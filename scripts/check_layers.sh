#!/usr/bin/env bash
# Checks that no include points up: core, decision, drivers, then roles, stand and experiment, then
# main. A folder may include itself and what stands before it.
set -uo pipefail
cd "$(dirname "$0")/.."
status=0

# forbid LAYER PATTERN: no file of a layer may include what matches.
forbid() {
    local found
    found="$(git ls-files "src/$1/*" "include/wrenswitch/$1/*" |
        xargs -r grep -nE "#include \"(wrenswitch/)?($2)/" || true)"
    if [ -n "$found" ]; then
        echo "$found"
        status=1
    fi
}

forbid core 'decision|drivers|roles|stand|experiment|main'
forbid decision 'drivers|roles|stand|experiment|main'
forbid drivers 'roles|stand|experiment|main'
forbid roles 'stand|experiment|main'
forbid stand 'roles|experiment|main'
forbid experiment 'roles|main'

# The platform's names, formats and calls stay in one folder: only main files and tests include it,
# and nothing else uses its words.
outside="$(git ls-files 'src/*' 'include/*' | grep -v '^src/main/')"
if echo "$outside" | xargs grep -nE '#include "platform/'; then
    echo "Only main files and tests may include platform/."
    status=1
fi
platform_words='Server-Stamp|Prefix-Hash|Token-Usage|Not-Executed|"Request-Id|"Deadline-Ms'
platform_words+='|Expect-Instance|Load-Report|"Credential|\/-\/|"keyed\.|apiKeys|pathPrefix|maxConns'
if git ls-files 'src/*' 'include/*' | xargs grep -nE "$platform_words"; then
    echo "These words of the platform belong into platform/."
    status=1
fi
forbid_platform="$(git ls-files 'platform/*' | xargs -r grep -nE '#include "(main|roles)/' || true)"
if [ -n "$forbid_platform" ]; then
    echo "$forbid_platform"
    status=1
fi

# The decision code has no sockets, clocks, threads or generated messages.
if git ls-files 'src/decision/*' 'include/wrenswitch/decision/*' |
    xargs grep -nE 'monotonic_now|\.pb\.h|<thread>|<event2|<zmq|::now\(\)'; then
    echo "The decision code must not use these."
    status=1
fi
exit "$status"
