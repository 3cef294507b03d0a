# SPDX-License-Identifier: Apache-2.0
# Completion of weirgate's commands for bash.
_weirgate()
{
  local word=${COMP_WORDS[COMP_CWORD]}
  local -a before=("${COMP_WORDS[@]:1:COMP_CWORD-1}")
  mapfile -t COMPREPLY < <(
    compgen -W "$(weirgate --complete -- "${before[@]}")" -- "$word")
}
complete -F _weirgate weirgate
