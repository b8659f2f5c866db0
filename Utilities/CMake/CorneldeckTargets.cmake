include_guard(GLOBAL)

# Settings shared by every target of the workspace.
add_library(corneldeck-options INTERFACE)
target_compile_options(corneldeck-options INTERFACE -Wall -Wextra)
target_compile_definitions(corneldeck-options INTERFACE
  BOOST_ASIO_NO_DEPRECATED
  BOOST_ASIO_DISABLE_BOOST_COROUTINE)

set(CORNELDECK_SANITIZE "" CACHE STRING "Value for -fsanitize, or empty")
if(CORNELDECK_SANITIZE)
  target_compile_options(corneldeck-options INTERFACE
    -fsanitize=${CORNELDECK_SANITIZE} -fno-omit-frame-pointer)
  target_link_options(corneldeck-options INTERFACE
    -fsanitize=${CORNELDECK_SANITIZE})
endif()

# corneldeck_add_library(<Name> SOURCES <file>... [DEPENDS <target>...])
#
# Adds the static library of one folder below Source/. Its headers are included
# as "Name/Header.h".
function(corneldeck_add_library Name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
  string(TOLOWER ${Name} Lower)
  set(Target corneldeck-${Lower})
  add_library(${Target} STATIC ${ARG_SOURCES})
  target_include_directories(${Target} PUBLIC "${CMAKE_SOURCE_DIR}/Source")
  target_link_libraries(${Target} PUBLIC corneldeck-options ${ARG_DEPENDS})
endfunction()

# corneldeck_add_program(<name> SOURCES <file>... [DEPENDS <target>...])
function(corneldeck_add_program Name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
  add_executable(${Name} ${ARG_SOURCES})
  target_include_directories(${Name} PRIVATE "${CMAKE_SOURCE_DIR}/Source")
  target_link_libraries(${Name} PRIVATE corneldeck-options ${ARG_DEPENDS})
endfunction()

# The programs that CTest's label "daemons" runs; the thread sanitizer's build is
# of these alone.
add_custom_target(daemon-tests)

# corneldeck_add_test(<Name> [DAEMONS] SOURCES <file>... [DEPENDS <target>...])
#
# Adds one GoogleTest program and registers it with CTest under the same name,
# with the label "daemons" if it has threads or sockets of the daemons.
function(corneldeck_add_test Name)
  cmake_parse_arguments(ARG "DAEMONS" "" "SOURCES;DEPENDS" ${ARGN})
  add_executable(${Name} ${ARG_SOURCES})
  target_include_directories(${Name} PRIVATE
    "${CMAKE_SOURCE_DIR}/Source" "${CMAKE_SOURCE_DIR}/Tests")
  target_link_libraries(${Name} PRIVATE
    corneldeck-options ${ARG_DEPENDS} GTest::gmock GTest::gtest_main)
  add_test(NAME ${Name} COMMAND ${Name})
  if(ARG_DAEMONS)
    set_tests_properties(${Name} PROPERTIES LABELS daemons)
    add_dependencies(daemon-tests ${Name})
  endif()
endfunction()

# corneldeck_add_matrix(<promise> [SLOW] [PLANTS <mistake>...])
#
# Runs the fault matrix of a promise, and once with each planted mistake, which
# it must report as broken: an error of another kind does not pass. Planted runs
# and SLOW matrices are left out under a sanitizer.
function(corneldeck_add_matrix Promise)
  cmake_parse_arguments(ARG "SLOW" "" "PLANTS" ${ARGN})
  if(CORNELDECK_SANITIZE AND ARG_SLOW)
    return()
  endif()
  add_test(NAME FaultMatrix.${Promise}
    COMMAND corneldeck-bench fault-matrix --promise ${Promise})
  if(CORNELDECK_SANITIZE)
    return()
  endif()
  foreach(Plant IN LISTS ARG_PLANTS)
    add_test(NAME FaultMatrix.${Promise}.${Plant}
      COMMAND corneldeck-bench fault-matrix --promise ${Promise}
        --plant ${Plant})
    set_tests_properties(FaultMatrix.${Promise}.${Plant} PROPERTIES
      PASS_REGULAR_EXPRESSION "rows, [1-9][0-9]* broken")
  endforeach()
endfunction()

# corneldeck_add_fuzz(<promise> [PLANTS <mistake>...])
#
# Runs 20,000 random schedules of a promise, split over four seeds that run side
# by side, a tenth of them under a sanitizer; and 20,000 with each planted
# mistake, which must be reported as broken.
function(corneldeck_add_fuzz Promise)
  cmake_parse_arguments(ARG "" "" "PLANTS" ${ARGN})
  set(Schedules 5000)
  if(CORNELDECK_SANITIZE)
    set(Schedules 500)
  endif()
  foreach(Seed RANGE 1 4)
    add_test(NAME Fuzz.${Promise}.${Seed}
      COMMAND corneldeck-bench fuzz --promise ${Promise}
        --schedules ${Schedules} --seed ${Seed})
  endforeach()
  if(CORNELDECK_SANITIZE)
    return()
  endif()
  foreach(Plant IN LISTS ARG_PLANTS)
    add_test(NAME Fuzz.${Promise}.${Plant}
      COMMAND corneldeck-bench fuzz --promise ${Promise} --schedules 20000
        --seed 1 --plant ${Plant})
    set_tests_properties(Fuzz.${Promise}.${Plant} PROPERTIES
      PASS_REGULAR_EXPRESSION "schedules, seed 1, BROKEN")
  endforeach()
endfunction()
