#include "lycheeshunt/streams/internal/h2_connection.h"

#include "lycheeshunt/base/clock_time.h"
#include "lycheeshunt/base/file_descriptor.h"

#include "tools/fuzz/fuzz_target.h"

#include <sys/socket.h>
#include <unistd.h>

using namespace lycheeshunt;

// What a peer sends on a stream, from its first byte on.
int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    int ends[2] = {-1, -1};
    fuzz::require(::socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0, ends) == 0);
    const base::file_descriptor peer(ends[1]);
    streams::internal::h2_connection connection(base::file_descriptor(ends[0]),
                                                streams::internal::connection_side::server,
                                                base::clock_time());
    const ssize_t written = ::write(peer.get(), data, size);
    bool isAlive = written >= 0;
    std::size_t received = 0;
    for (const std::string &frame : connection.receive(base::clock_time(), isAlive))
        received += frame.size();
    fuzz::require(received <= size);
    if (isAlive)
        connection.flush();
    return 0;
}
