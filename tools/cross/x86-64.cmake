# Builds for x86-64 on another kind of machine, with Debian's cross compiler. LYCHEESHUNT_SYSROOT in
# the environment names a folder into which the amd64 packages of tools/install are unpacked.
set(CMAKE_SYSTEM_NAME Linux)
set(CMAKE_SYSTEM_PROCESSOR x86_64)
set(CMAKE_CXX_COMPILER x86_64-linux-gnu-g++)
set(CMAKE_SYSROOT $ENV{LYCHEESHUNT_SYSROOT})
set(CMAKE_LIBRARY_ARCHITECTURE x86_64-linux-gnu)
set(CMAKE_FIND_ROOT_PATH_MODE_PROGRAM NEVER)
set(CMAKE_FIND_ROOT_PATH_MODE_LIBRARY ONLY)
set(CMAKE_FIND_ROOT_PATH_MODE_INCLUDE ONLY)
