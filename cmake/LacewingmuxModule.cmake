# Adds the library of one module from all sources below its folder.
# lacewingmux_module(lacewingmux_x DEPENDS lacewingmux_y ... LIBRARIES Qt6::Network ...)
function(lacewingmux_module name)
    cmake_parse_arguments(MODULE "" "" "DEPENDS;LIBRARIES" ${ARGN})
    file(GLOB_RECURSE sources CONFIGURE_DEPENDS
        "${CMAKE_CURRENT_SOURCE_DIR}/${name}/*.cpp" "${CMAKE_CURRENT_SOURCE_DIR}/${name}/*.h")
    if(NOT sources)
        return()
    endif()
    add_library(${name} STATIC ${sources})
    set_target_properties(${name} PROPERTIES LINKER_LANGUAGE CXX)
    target_include_directories(${name} PUBLIC
        "$<BUILD_INTERFACE:${CMAKE_CURRENT_SOURCE_DIR}>" "$<INSTALL_INTERFACE:include>")
    target_link_libraries(${name} PUBLIC Qt6::Core ${MODULE_DEPENDS} ${MODULE_LIBRARIES})
endfunction()

# Adds one test executable from all sources of tests/<folder> and registers it with CTest.
function(lacewingmux_test folder)
    file(GLOB_RECURSE sources CONFIGURE_DEPENDS "${CMAKE_CURRENT_SOURCE_DIR}/${folder}/*.cpp")
    if(NOT sources)
        return()
    endif()
    cmake_parse_arguments(TEST "" "" "LIBRARIES;DEPENDS" ${ARGN})
    set(name "test_${folder}")
    add_executable(${name} ${sources})
    target_include_directories(${name} PRIVATE "${CMAKE_CURRENT_SOURCE_DIR}")
    target_link_libraries(${name} PRIVATE ${TEST_LIBRARIES} criterion)
    target_compile_definitions(${name} PRIVATE
        LACEWINGMUX_BINARY_DIR="${CMAKE_BINARY_DIR}" LACEWINGMUX_SOURCE_DIR="${CMAKE_SOURCE_DIR}")
    if(TEST_DEPENDS)
        add_dependencies(${name} ${TEST_DEPENDS})
    endif()
    add_test(NAME ${folder} COMMAND ${name} --jobs 4)
    set_tests_properties(${folder} PROPERTIES TIMEOUT 600)
endfunction()

# Adds a program from all sources of the current folder.
function(lacewingmux_program name)
    cmake_parse_arguments(PROGRAM "" "" "LIBRARIES" ${ARGN})
    file(GLOB_RECURSE sources CONFIGURE_DEPENDS
        "${CMAKE_CURRENT_SOURCE_DIR}/*.cpp" "${CMAKE_CURRENT_SOURCE_DIR}/*.h")
    if(NOT sources)
        return()
    endif()
    add_executable(${name} ${sources})
    target_include_directories(${name} PRIVATE "${CMAKE_CURRENT_SOURCE_DIR}")
    target_link_libraries(${name} PRIVATE ${PROGRAM_LIBRARIES})
    set_target_properties(${name} PROPERTIES RUNTIME_OUTPUT_DIRECTORY "${CMAKE_BINARY_DIR}/bin")
endfunction()
