# SPDX-License-Identifier: Apache-2.0
# Runs a command and compares its exit code and all that it prints with the
# file beside it: the first line is the exit code.
separate_arguments(ARGUMENTS UNIX_COMMAND "${ARGUMENTS}")
execute_process(COMMAND ${PROGRAM} ${ARGUMENTS}
  RESULT_VARIABLE code OUTPUT_VARIABLE output ERROR_VARIABLE output)
file(READ "${EXPECTED}" expected)
if(NOT "${code}\n${output}" STREQUAL "${expected}")
  message(FATAL_ERROR "${PROGRAM} ${ARGUMENTS} gave\n${code}\n${output}\n"
    "in place of\n${expected}")
endif()
