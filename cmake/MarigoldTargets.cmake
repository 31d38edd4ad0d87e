if(NOT MARIGOLD_NODE_ONLY)
  include(doctest)
endif()

# Options that every target of the tree shares. Warnings are errors.
add_library(marigoldOptions INTERFACE)
# g++ 12 reports -Wrestrict falsely for std::string (GCC bug 105651).
target_compile_options(marigoldOptions INTERFACE
  -Wall -Wextra -Wpedantic -Wshadow -Wnon-virtual-dtor -Wno-restrict -Werror)
target_include_directories(marigoldOptions INTERFACE
  ${PROJECT_SOURCE_DIR}/src)
# Every translation unit must see the same easylogging++ macros: the library
# is header plus one source file and crashes when they differ. Hosts have no
# disks, so the default log file is off.
target_compile_definitions(marigoldOptions INTERFACE
  ELPP_THREAD_SAFE ELPP_NO_DEFAULT_LOG_FILE ELPP_DISABLE_DEFAULT_CRASH_HANDLING
  MARIGOLD_VERSION="${PROJECT_VERSION}")
target_link_libraries(marigoldOptions INTERFACE Threads::Threads)
if(MARIGOLD_SANITIZE)
  # With sanitizers g++ 12 reports -Wmaybe-uninitialized falsely for
  # boost::optional in Boost.Beast's HTTP parser, and -Wmismatched-new-delete
  # for the coroutine frames of Boost.Asio. -O1 and line tables only keep
  # the two additional builds of CI short.
  target_compile_options(marigoldOptions INTERFACE
    -fsanitize=${MARIGOLD_SANITIZE} -fno-omit-frame-pointer -O1 -g1
    -Wno-maybe-uninitialized -Wno-mismatched-new-delete)
  # Boost.Asio uses atomic_thread_fence, which the thread sanitizer does not
  # model; g++ warns about that.
  if(MARIGOLD_SANITIZE MATCHES thread)
    target_compile_options(marigoldOptions INTERFACE -Wno-tsan)
  endif()
  target_link_options(marigoldOptions INTERFACE
    -fsanitize=${MARIGOLD_SANITIZE})
endif()

# marigold_library(<Module> SOURCES ... DEPENDS ...) defines the library
# marigold<Module> of one subsystem folder.
function(marigold_library Name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
  add_library(marigold${Name} STATIC ${ARG_SOURCES})
  target_link_libraries(marigold${Name} PUBLIC marigoldOptions ${ARG_DEPENDS})
endfunction()

# marigold_program(<name> SOURCES ... DEPENDS ...) defines one binary.
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
  # The timeout only ends a test that hangs: the seeded orders of the mesh take
  # 92 s under the thread sanitizer on a busy machine.
  doctest_discover_tests(${Name}Tests TEST_PREFIX "${Name}: "
    PROPERTIES TIMEOUT 900)
endfunction()
