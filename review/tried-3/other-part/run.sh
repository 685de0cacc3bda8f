#!/usr/bin/env bash
exec "$(dirname "$0")/../../play-3.sh" tried-3/other-part other-part
