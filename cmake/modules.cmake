add_library(currantspar_options INTERFACE)
target_compile_options(currantspar_options INTERFACE -Wall -Wextra -Wpedantic -Wshadow -Wno-restrict)
if(CURRANTSPAR_SANITIZE)
  target_compile_options(currantspar_options INTERFACE
    -fsanitize=${CURRANTSPAR_SANITIZE} -fno-omit-frame-pointer -fno-sanitize-recover=all)
  target_link_options(currantspar_options INTERFACE -fsanitize=${CURRANTSPAR_SANITIZE})
endif()

# currantspar_module(NAME LINK libraries...)
#
# Builds the library currantspar_NAME from src/currantspar/NAME/*.cpp and the test program test_NAME
# from the x_test.cpp files that stand beside the sources.
function(currantspar_module name)
  cmake_parse_arguments(arg "" "" "LINK" ${ARGN})
  file(GLOB_RECURSE sources CONFIGURE_DEPENDS src/currantspar/${name}/*.cpp src/currantspar/${name}/*.cc
                                              src/currantspar/${name}/*.c++)
  set(tests ${sources})
  list(FILTER sources EXCLUDE REGEX "_test\\.cpp$")
  list(FILTER tests INCLUDE REGEX "_test\\.cpp$")
  if(sources)
    add_library(currantspar_${name} STATIC ${sources})
    target_include_directories(currantspar_${name} PUBLIC include src)
    target_link_libraries(currantspar_${name} PUBLIC currantspar_options ${arg_LINK})
  else()
    add_library(currantspar_${name} INTERFACE)
    target_include_directories(currantspar_${name} INTERFACE include src)
    target_link_libraries(currantspar_${name} INTERFACE currantspar_options ${arg_LINK})
  endif()
  if(tests AND CURRANTSPAR_TESTS)
    add_executable(test_${name} ${tests} ${PROJECT_SOURCE_DIR}/tests/test_main.cpp)
    target_link_libraries(test_${name} PRIVATE currantspar_${name} Boost::unit_test_framework)
    if(NOT name STREQUAL standin AND NOT name IN_LIST CURRANTSPAR_BELOW_STANDIN)
      target_link_libraries(test_${name} PRIVATE currantspar_standin)
    endif()
    target_compile_definitions(test_${name} PRIVATE
      BOOST_TEST_DYN_LINK CURRANTSPAR_SOURCE_DIR="${PROJECT_SOURCE_DIR}")
    add_test(NAME ${name} COMMAND test_${name} --log_level=warning)
    set_tests_properties(${name} PROPERTIES TIMEOUT 600)
  endif()
endfunction()

# Modules whose tests need no stand-ins.
set(CURRANTSPAR_BELOW_STANDIN base config agreement policy core relay)
