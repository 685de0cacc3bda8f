#!/usr/bin/env bash
exec "$(dirname "$0")/../play-3.sh" 15 old-entry
