#!/usr/bin/env bash
exec "$(dirname "$0")/../play-3.sh" 14 odd-key
