# Reads KNOWN-RED.txt, the test cases and soak runs that fail because of a real fault that is not fixed yet. Test
# programs run without such cases, such soak runs are disabled, and tools/run-tests prints the list. Formats of a line:
#   program/case | cause | command, seed and what was seen | issue
#   soak_run | cause | command, seed and what was seen | issue

set(known_red_file ${CMAKE_SOURCE_DIR}/KNOWN-RED.txt)
set(known_red_max 4)
set(known_red_cases "")
if(EXISTS ${known_red_file})
    set_property(DIRECTORY APPEND PROPERTY CMAKE_CONFIGURE_DEPENDS ${known_red_file})
    file(STRINGS ${known_red_file} known_red_lines)
    set(known_red_line_number 0)
    foreach(line IN LISTS known_red_lines)
        math(EXPR known_red_line_number "${known_red_line_number} + 1")
        if(line STREQUAL "" OR line MATCHES "^#")
            continue()
        endif()
        if(NOT line MATCHES "^(tst_[a-z0-9_]+/[A-Za-z0-9_]+|soak_[a-z0-9_]+) \\| [^|]+ \\| [^|]+ \\| issue [0-9]+$")
            message(FATAL_ERROR "KNOWN-RED.txt:${known_red_line_number}: not 'program/case or soak_run | cause | "
                                "command, seed and what was seen | issue N'.")
        endif()
        list(APPEND known_red_cases ${CMAKE_MATCH_1})
    endforeach()
    list(LENGTH known_red_cases known_red_count)
    if(known_red_count GREATER known_red_max)
        message(FATAL_ERROR "KNOWN-RED.txt: ${known_red_count} cases; fix some, at most ${known_red_max} are allowed.")
    endif()
endif()

# Sets <result> to the arguments that exclude the known failing cases of a test program.
function(lagoonbank_known_red_arguments program result)
    set(arguments "")
    foreach(case IN LISTS known_red_cases)
        if(case MATCHES "^${program}/(.*)$")
            list(APPEND arguments "--run_test=!${CMAKE_MATCH_1}")
        endif()
    endforeach()
    set(${result} ${arguments} PARENT_SCOPE)
endfunction()

# Disables a soak run that is known to fail. CTest lists it as not run.
function(lagoonbank_disable_known_red test)
    if(test IN_LIST known_red_cases)
        set_tests_properties(${test} PROPERTIES DISABLED TRUE)
    endif()
endfunction()
