# gypsumtrack_options(TARGET): warnings are errors in our own code. Fields with a
# default may be left out of a designated initialiser. The optimising presets
# also leave out maybe-uninitialized: g++ 12 gives it for correct code there.
function(gypsumtrack_options target)
  target_compile_options(${target} PRIVATE -Wall -Wextra -Wpedantic -Werror
                                           -Wno-missing-field-initializers)
  target_compile_definitions(
    ${target} PUBLIC BOOST_ASIO_NO_DEPRECATED BOOST_ASIO_DISABLE_IO_URING
                     BOOST_ASIO_DISABLE_STD_ALIGNED_ALLOC
                     GYPSUMTRACK_VERSION="${PROJECT_VERSION}")
endfunction()

# gypsumtrack_package(NAME LIBRARIES...): a library of src/*.cc, and a test
# program of test/*_test.cc when there is any.
function(gypsumtrack_package name)
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/src/*.cc
       ${CMAKE_CURRENT_SOURCE_DIR}/src/*/*.cc)
  add_library(gypsumtrack_${name} STATIC ${sources})
  target_include_directories(gypsumtrack_${name}
                             PUBLIC ${CMAKE_CURRENT_SOURCE_DIR}/include)
  target_link_libraries(gypsumtrack_${name} PUBLIC ${ARGN})
  gypsumtrack_options(gypsumtrack_${name})
endfunction()

# gypsumtrack_tests(NAME LIBRARIES...): the package's tests, one ctest entry for
# each test file, without the tests that KNOWN-RED.txt lists. RC_PARAMS pins the seed, so that a verdict repeats.
function(gypsumtrack_tests name)
  file(GLOB tests CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/test/*_test.cc
       ${CMAKE_CURRENT_SOURCE_DIR}/test/*/*_test.cc)
  if(NOT tests)
    return()
  endif()
  add_executable(${name}_tests ${tests} ${CMAKE_SOURCE_DIR}/support/test_main.cc)
  target_link_libraries(${name}_tests PRIVATE gypsumtrack_${name} ${ARGN} rapidcheck)
  gypsumtrack_options(${name}_tests)
  foreach(test ${tests})
    get_filename_component(file ${test} NAME_WE)
    add_test(NAME ${name}.${file} COMMAND ${name}_tests --warn NoTests --filenames-as-tags
                                          "[#${file}]~[.known-red]")
    set_tests_properties(
      ${name}.${file}
      PROPERTIES ENVIRONMENT "RC_PARAMS=seed=1 max_success=100" TIMEOUT 120)
  endforeach()
endfunction()
