if(NOT MARIGOLD_NODE_ONLY)
  include(doctest)
endif()

# Options shared by all CMake targets of the project. Warnings are errors.
add_library(marigoldOptions INTERFACE)
# g++ 12 gives false -Wrestrict warnings for std::string (GCC bug 105651).
target_compile_options(marigoldOptions INTERFACE
  -Wall -Wextra -Wpedantic -Wshadow -Wnon-virtual-dtor -Wno-restrict -Werror)
target_include_directories(marigoldOptions INTERFACE
  ${PROJECT_SOURCE_DIR}/src)
# Every translation unit must be compiled with the same easylogging++ macros:
# the library consists of a header and one source file and crashes if they are
# built with different macros. Hosts have no disks, so the default log file is
# disabled.
target_compile_definitions(marigoldOptions INTERFACE
  ELPP_THREAD_SAFE ELPP_NO_DEFAULT_LOG_FILE ELPP_DISABLE_DEFAULT_CRASH_HANDLING
  MARIGOLD_VERSION="${PROJECT_VERSION}")
target_link_libraries(marigoldOptions INTERFACE Threads::Threads)
if(MARIGOLD_SANITIZE)
  # With sanitizers g++ 12 gives false -Wmaybe-uninitialized warnings for
  # boost::optional in Boost.Beast's HTTP parser and false
  # -Wmismatched-new-delete warnings for coroutine frames of Boost.Asio. -O1 and
  # -g1 (line tables only) shorten the two additional CI builds.
  target_compile_options(marigoldOptions INTERFACE
    -fsanitize=${MARIGOLD_SANITIZE} -fno-omit-frame-pointer -O1 -g1
    -Wno-maybe-uninitialized -Wno-mismatched-new-delete)
  # Boost.Asio uses atomic_thread_fence, which the thread sanitizer does not
  # support; g++ warns about it (-Wtsan).
  if(MARIGOLD_SANITIZE MATCHES thread)
    target_compile_options(marigoldOptions INTERFACE -Wno-tsan)
  endif()
  target_link_options(marigoldOptions INTERFACE
    -fsanitize=${MARIGOLD_SANITIZE})
endif()

# marigold_library(<Module> SOURCES ... DEPENDS ...) defines the static
# library marigold<Module> of one subsystem directory.
function(marigold_library Name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
  add_library(marigold${Name} STATIC ${ARG_SOURCES})
  target_link_libraries(marigold${Name} PUBLIC marigoldOptions ${ARG_DEPENDS})
endfunction()

# marigold_program(<name> SOURCES ... DEPENDS ...) defines one
# executable.
function(marigold_program Name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
  add_executable(${Name} ${ARG_SOURCES})
  target_link_libraries(${Name} PRIVATE marigoldOptions ${ARG_DEPENDS})
  set_target_properties(${Name} PROPERTIES
    RUNTIME_OUTPUT_DIRECTORY ${PROJECT_BINARY_DIR}/bin)
endfunction()

# marigold_unittest(<Module> SOURCES ... DEPENDS ...) defines the test binary
# of one subsystem and registers each of its cases with CTest.
function(marigold_unittest Name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
  add_executable(${Name}Tests ${PROJECT_SOURCE_DIR}/unittests/TestMain.cpp
    ${ARG_SOURCES})
  target_link_libraries(${Name}Tests PRIVATE marigoldOptions
    doctest::doctest ${ARG_DEPENDS})
  target_compile_definitions(${Name}Tests PRIVATE
    MARIGOLD_SOURCE_DIR="${PROJECT_SOURCE_DIR}")
  # The timeout is only meant for tests that hang: the tests of the mesh with
  # seeded event orders take 92 s under the thread sanitizer on a busy machine.
  doctest_discover_tests(${Name}Tests TEST_PREFIX "${Name}: "
    PROPERTIES TIMEOUT 900)
endfunction()
