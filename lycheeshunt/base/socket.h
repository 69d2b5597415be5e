// Opens the sockets that the slices use. All are non-blocking.

#pragma once

#include "lycheeshunt/base/endpoint.h"
#include "lycheeshunt/base/file_descriptor.h"

struct sockaddr_in;

namespace lycheeshunt::base {

result<file_descriptor> openDatagramSocket(const endpoint &local);
result<file_descriptor> openListener(const endpoint &local);

// Starts a connection; the socket becomes writable once it is made or has failed.
result<file_descriptor> startConnection(const endpoint &remote);

// Where the socket is bound; tells the port that the system chose for port 0.
endpoint localEndpoint(const file_descriptor &socket);

sockaddr_in toSocketAddress(const endpoint &where);
endpoint fromSocketAddress(const sockaddr_in &raw);

} // namespace lycheeshunt::base
