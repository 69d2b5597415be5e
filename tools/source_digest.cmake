# The digest of the product's sources without tests: what a program was built from.
#     cmake -P tools/source_digest.cmake                  prints that of this checkout
#     cmake -DHEADER=FILE -P tools/source_digest.cmake    writes it to a header, if it has changed
get_filename_component(ROOT "${CMAKE_CURRENT_LIST_DIR}/.." ABSOLUTE)
file(GLOB_RECURSE SOURCES RELATIVE "${ROOT}"
    "${ROOT}/lycheeshunt/*.cpp" "${ROOT}/lycheeshunt/*.h" "${ROOT}/platform/*.cpp"
    "${ROOT}/platform/*.h" "${ROOT}/CMakeLists.txt")
list(FILTER SOURCES EXCLUDE REGEX "^build|^target|_test\\.(cpp|h)$")
list(SORT SOURCES)
set(CONTENTS "")
foreach(SOURCE ${SOURCES})
    file(SHA256 "${ROOT}/${SOURCE}" HASH)
    string(APPEND CONTENTS "${SOURCE} ${HASH}\n")
endforeach()
string(SHA256 DIGEST "${CONTENTS}")
string(SUBSTRING "${DIGEST}" 0 12 DIGEST)
if(NOT HEADER)
    execute_process(COMMAND ${CMAKE_COMMAND} -E echo "${DIGEST}")
    return()
endif()
set(TEXT "#define LYCHEESHUNT_SOURCE_DIGEST \"${DIGEST}\"\n")
set(PRESENT "")
if(EXISTS "${HEADER}")
    file(READ "${HEADER}" PRESENT)
endif()
if(NOT PRESENT STREQUAL TEXT)
    file(WRITE "${HEADER}" "${TEXT}")
endif()
