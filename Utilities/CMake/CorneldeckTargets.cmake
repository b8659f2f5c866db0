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

# corneldeck_add_test(<Name> SOURCES <file>... [DEPENDS <target>...])
#
# Adds one GoogleTest program and registers it with CTest under the same name.
function(corneldeck_add_test Name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
  add_executable(${Name} ${ARG_SOURCES})
  target_include_directories(${Name} PRIVATE
    "${CMAKE_SOURCE_DIR}/Source" "${CMAKE_SOURCE_DIR}/Tests")
  target_link_libraries(${Name} PRIVATE
    corneldeck-options ${ARG_DEPENDS} GTest::gmock GTest::gtest_main)
  add_test(NAME ${Name} COMMAND ${Name})
endfunction()
