#include "lycheeshunt/streams/internal/h2_connection.h"

#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <memory>

namespace lycheeshunt::streams::internal {

namespace {

constexpr std::size_t maxFrameBytes = 4 * 1024 * 1024;
constexpr std::size_t lengthBytes = 4;
constexpr std::size_t readChunkBytes = 64 * 1024;
constexpr std::int32_t windowBytes = 4 * 1024 * 1024;

nghttp2_nv headerField(std::string_view name, std::string_view value)
{
    nghttp2_nv field {};
    field.name = reinterpret_cast<std::uint8_t *>(const_cast<char *>(name.data()));
    field.namelen = name.size();
    field.value = reinterpret_cast<std::uint8_t *>(const_cast<char *>(value.data()));
    field.valuelen = value.size();
    field.flags = NGHTTP2_NV_FLAG_NONE;
    return field;
}

std::size_t decodeLength(std::string_view bytes)
{
    std::size_t length = 0;
    for (std::size_t i = 0; i < lengthBytes; ++i)
        length = (length << 8) | static_cast<unsigned char>(bytes[i]);
    return length;
}

void appendLength(std::string &bytes, std::size_t length)
{
    for (std::size_t i = 0; i < lengthBytes; ++i)
        bytes.push_back(static_cast<char>((length >> (8 * (lengthBytes - 1 - i))) & 0xff));
}

} // namespace

struct h2_connection::callbacks
{
    static ssize_t readSendBuffer(nghttp2_session *, std::int32_t, std::uint8_t *buffer,
                                  std::size_t capacity, std::uint32_t *,
                                  nghttp2_data_source *source, void *)
    {
        h2_connection &self = *static_cast<h2_connection *>(source->ptr);
        const std::size_t count = std::min(capacity, self.queuedBytes());
        if (count == 0) {
            self.m_sendDeferred = true;
            return NGHTTP2_ERR_DEFERRED;
        }
        std::memcpy(buffer, self.m_sendBuffer.data() + self.m_sendBufferOffset, count);
        self.m_sendBufferOffset += count;
        if (self.m_sendBufferOffset == self.m_sendBuffer.size()) {
            self.m_sendBuffer.clear();
            self.m_sendBufferOffset = 0;
        }
        return static_cast<ssize_t>(count);
    }

    static int onData(nghttp2_session *, std::uint8_t, std::int32_t, const std::uint8_t *data,
                      std::size_t length, void *userData)
    {
        h2_connection &self = *static_cast<h2_connection *>(userData);
        self.m_receiveBuffer.append(reinterpret_cast<const char *>(data), length);
        return 0;
    }

    static int onFrame(nghttp2_session *session, const nghttp2_frame *frame, void *userData)
    {
        h2_connection &self = *static_cast<h2_connection *>(userData);
        const bool isRequest
            = frame->hd.type == NGHTTP2_HEADERS && frame->headers.cat == NGHTTP2_HCAT_REQUEST;
        if (!isRequest || self.m_streamId >= 0)
            return 0;
        self.m_streamId = frame->hd.stream_id;
        const nghttp2_nv fields[] = {headerField(":status", "200")};
        nghttp2_data_provider provider {};
        provider.source.ptr = &self;
        provider.read_callback = readSendBuffer;
        nghttp2_submit_response(session, self.m_streamId, fields, std::size(fields), &provider);
        return 0;
    }

    static int onStreamClose(nghttp2_session *, std::int32_t, std::uint32_t, void *userData)
    {
        static_cast<h2_connection *>(userData)->m_streamEnded = true;
        return 0;
    }
};

h2_connection::h2_connection(base::file_descriptor socket, connection_side side,
                             base::clock_time now)
    : m_socket(std::move(socket)), m_lastReceived(now)
{
    nghttp2_session_callbacks *table = nullptr;
    nghttp2_session_callbacks_new(&table);
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(table, callbacks::onData);
    nghttp2_session_callbacks_set_on_frame_recv_callback(table, callbacks::onFrame);
    nghttp2_session_callbacks_set_on_stream_close_callback(table, callbacks::onStreamClose);
    if (side == connection_side::client)
        nghttp2_session_client_new(&m_session, table, this);
    else
        nghttp2_session_server_new(&m_session, table, this);
    nghttp2_session_callbacks_del(table);

    const nghttp2_settings_entry settings[]
        = {{NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, static_cast<std::uint32_t>(windowBytes)},
           {NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, 1}};
    nghttp2_submit_settings(m_session, NGHTTP2_FLAG_NONE, settings, std::size(settings));
    nghttp2_session_set_local_window_size(m_session, NGHTTP2_FLAG_NONE, 0, windowBytes);
    if (side == connection_side::client)
        openRequest();
}

h2_connection::~h2_connection()
{
    nghttp2_session_del(m_session);
}

void h2_connection::openRequest()
{
    const nghttp2_nv fields[]
        = {headerField(":method", "POST"), headerField(":scheme", "http"),
           headerField(":authority", "lycheeshunt"), headerField(":path", "/v1/link")};
    nghttp2_data_provider provider {};
    provider.source.ptr = this;
    provider.read_callback = callbacks::readSendBuffer;
    m_streamId
        = nghttp2_submit_request(m_session, nullptr, fields, std::size(fields), &provider, nullptr);
}

std::vector<std::string> h2_connection::receive(base::clock_time now, bool &alive)
{
    std::vector<std::string> frames;
    const std::unique_ptr<char[]> chunk = std::make_unique_for_overwrite<char[]>(readChunkBytes);
    alive = true;
    while (alive) {
        const ssize_t count = ::recv(m_socket.get(), chunk.get(), readChunkBytes, 0);
        if (count < 0) {
            alive = errno == EAGAIN || errno == EINTR;
            break;
        }
        if (count == 0) {
            alive = false;
            break;
        }
        m_lastReceived = now;
        m_bytesReceived += static_cast<std::uint64_t>(count);
        const ssize_t consumed = nghttp2_session_mem_recv(
            m_session, reinterpret_cast<const std::uint8_t *>(chunk.get()),
            static_cast<std::size_t>(count));
        alive = consumed == count && !m_streamEnded && extractFrames(frames);
    }
    return frames;
}

bool h2_connection::extractFrames(std::vector<std::string> &frames)
{
    std::size_t offset = 0;
    while (m_receiveBuffer.size() - offset >= lengthBytes) {
        const std::size_t length = decodeLength(std::string_view(m_receiveBuffer).substr(offset));
        if (length == 0 || length > maxFrameBytes)
            return false;
        if (m_receiveBuffer.size() - offset - lengthBytes < length)
            break;
        frames.push_back(m_receiveBuffer.substr(offset + lengthBytes, length));
        offset += lengthBytes + length;
    }
    m_receiveBuffer.erase(0, offset);
    return true;
}

bool h2_connection::flush()
{
    while (true) {
        if (!hasUnsentBytes()) {
            const std::uint8_t *data = nullptr;
            const ssize_t count = nghttp2_session_mem_send(m_session, &data);
            if (count < 0)
                return false;
            if (count == 0)
                return true;
            m_unsent.assign(reinterpret_cast<const char *>(data), static_cast<std::size_t>(count));
            m_unsentOffset = 0;
        }
        const ssize_t sent = ::send(m_socket.get(), m_unsent.data() + m_unsentOffset,
                                    m_unsent.size() - m_unsentOffset, MSG_NOSIGNAL);
        if (sent < 0)
            return errno == EAGAIN || errno == EINTR;
        m_unsentOffset += static_cast<std::size_t>(sent);
        m_bytesSent += static_cast<std::uint64_t>(sent);
    }
}

void h2_connection::sendFrame(std::string_view bytes)
{
    appendLength(m_sendBuffer, bytes.size());
    m_sendBuffer.append(bytes);
    if (m_sendDeferred && m_streamId >= 0) {
        m_sendDeferred = false;
        nghttp2_session_resume_data(m_session, m_streamId);
    }
}

void h2_connection::sendPing()
{
    nghttp2_submit_ping(m_session, NGHTTP2_FLAG_NONE, nullptr);
}

void h2_connection::shutdownSending()
{
    ::shutdown(m_socket.get(), SHUT_WR);
}

} // namespace lycheeshunt::streams::internal
