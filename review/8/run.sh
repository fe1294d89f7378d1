#!/usr/bin/env bash
# A planned stop while clients have sent a further request.
exec "$(dirname "$0")/../run-2.sh" "$(dirname "$0")" stop-while-pipelining
