#include "tools/soaktest/http_client.h"

#include "lycheeshunt/base/socket.h"

#include <poll.h>
#include <sys/socket.h>

#include <array>
#include <cstdlib>

namespace lycheeshunt::soak {

namespace {

using base::clock_time;

bool awaitReady(int descriptor, short events, clock_time deadline)
{
    const std::int64_t left = (deadline - clock_time::steady()).millis();
    pollfd watched {descriptor, events, 0};
    return left > 0 && ::poll(&watched, 1, static_cast<int>(left)) > 0;
}

bool sendAll(int descriptor, const std::string &text, clock_time deadline)
{
    for (std::size_t sent = 0; sent < text.size();) {
        if (!awaitReady(descriptor, POLLOUT, deadline))
            return false;
        const ssize_t count
            = ::send(descriptor, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

// Nothing until the header and the number of bytes that it announces are there.
std::optional<http_answer> parse(const std::string &text)
{
    const std::string statusPrefix = "HTTP/1.1 ";
    const std::string lengthName = "content-length:";
    const std::size_t end = text.find("\r\n\r\n");
    if (end == std::string::npos || !text.starts_with(statusPrefix))
        return std::nullopt;
    std::string header = text.substr(0, end);
    for (char &each : header)
        each = each >= 'A' && each <= 'Z' ? static_cast<char>(each - 'A' + 'a') : each;
    const std::size_t found = header.find(lengthName);
    const std::size_t length = found == std::string::npos
        ? 0
        : std::strtoul(header.c_str() + found + lengthName.size(), nullptr, 10);
    const std::size_t bodyAt = end + 4;
    if (text.size() < bodyAt + length)
        return std::nullopt;
    return http_answer {std::atoi(text.c_str() + statusPrefix.size()), text.substr(bodyAt, length)};
}

} // namespace

std::optional<http_answer> call(const base::endpoint &server, const http_request &request,
                                clock_time timeout)
{
    const clock_time deadline = clock_time::steady() + timeout;
    const base::result<base::file_descriptor> socket = base::startConnection(server);
    if (!base::isOk(socket))
        return std::nullopt;
    const int descriptor = base::valueOf(socket).get();
    const std::string text = request.method + " " + request.path + " HTTP/1.1\r\nHost: "
        + server.text() + "\r\nConnection: close\r\nContent-Type: application/json\r\n"
        + "Content-Length: " + std::to_string(request.body.size()) + "\r\n\r\n" + request.body;
    if (!sendAll(descriptor, text, deadline) || request.losesResponse)
        return std::nullopt;
    std::string received;
    std::array<char, 4096> buffer;
    while (awaitReady(descriptor, POLLIN, deadline)) {
        const ssize_t count = ::recv(descriptor, buffer.data(), buffer.size(), 0);
        if (count > 0)
            received.append(buffer.data(), static_cast<std::size_t>(count));
        std::optional<http_answer> answer = parse(received);
        if (answer || count <= 0)
            return answer;
    }
    return std::nullopt;
}

} // namespace lycheeshunt::soak
