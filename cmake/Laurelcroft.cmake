# laurelcroft_library(NAME SOURCES a.cpp b.cpp DEPENDS other)
# Adds the static library of one component. Its headers are in include/laurelcroft/NAME.
function(laurelcroft_library name)
    cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
    set(target lc_${name})
    add_library(${target} STATIC ${ARG_SOURCES})
    target_include_directories(${target} PUBLIC ${PROJECT_SOURCE_DIR}/include)
    target_link_libraries(${target} PUBLIC ${ARG_DEPENDS} Threads::Threads)
endfunction()

# laurelcroft_tool(NAME DEPENDS lc_Entry)
# Adds the program NAME, built from main.cpp, to the bin folder of the build.
function(laurelcroft_tool name)
    cmake_parse_arguments(ARG "" "" "DEPENDS" ${ARGN})
    add_executable(${name} main.cpp)
    target_link_libraries(${name} PRIVATE ${ARG_DEPENDS})
    set_target_properties(${name} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${PROJECT_BINARY_DIR}/bin)
endfunction()
