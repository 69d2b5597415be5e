#include "lycheeshunt/replication/log_store.h"

#include "lycheeshunt/base/log.h"
#include "lycheeshunt/replication/codec.h"

#include <fcntl.h>
#include <sys/stat.h>
#include <xxhash.h>

#include <cerrno>
#include <cstring>
#include <fstream>
#include <sstream>

namespace lycheeshunt::replication {

namespace {

struct record_header
{
    std::uint32_t length;
    std::uint64_t checksum;
};

constexpr std::size_t headerBytes = sizeof(std::uint32_t) + sizeof(std::uint64_t);

std::string frameRecord(const std::string &body)
{
    const std::uint32_t length = static_cast<std::uint32_t>(body.size());
    const std::uint64_t checksum = XXH3_64bits(body.data(), body.size());
    std::string record(headerBytes, '\0');
    std::memcpy(record.data(), &length, sizeof length);
    std::memcpy(record.data() + sizeof length, &checksum, sizeof checksum);
    return record + body;
}

record_header readHeader(const char *bytes)
{
    record_header header {};
    std::memcpy(&header.length, bytes, sizeof header.length);
    std::memcpy(&header.checksum, bytes + sizeof header.length, sizeof header.checksum);
    return header;
}

base::error storageError(const std::string &what)
{
    return base::error {base::error_code::storageFailed, what + ": " + std::strerror(errno)};
}

bool writeWhole(int descriptor, std::string_view bytes)
{
    while (!bytes.empty()) {
        const ssize_t written = ::write(descriptor, bytes.data(), bytes.size());
        if (written < 0 && errno == EINTR)
            continue;
        if (written <= 0)
            return false;
        bytes.remove_prefix(static_cast<std::size_t>(written));
    }
    return true;
}

} // namespace

log_store::log_store(base::file_descriptor file, std::vector<log_entry> recovered)
    : m_file(std::move(file)), m_recovered(std::move(recovered))
{
}

base::result<log_store> log_store::open(const std::string &folder)
{
    constexpr mode_t folderMode = 0700;
    constexpr mode_t fileMode = 0600;
    if (::mkdir(folder.c_str(), folderMode) != 0 && errno != EEXIST)
        return storageError(folder);
    const std::string path = folder + "/log";
    base::file_descriptor file(
        ::open(path.c_str(), O_RDWR | O_CREAT | O_APPEND | O_CLOEXEC, fileMode));
    if (!file.isOpen())
        return storageError(path);
    const base::file_descriptor directory(::open(folder.c_str(), O_RDONLY | O_CLOEXEC));
    if (::fsync(directory.get()) != 0)
        return storageError(folder);

    std::ostringstream text;
    text << std::ifstream(path).rdbuf();
    const std::string bytes = text.str();
    std::vector<log_entry> recovered;
    std::size_t offset = 0;
    while (bytes.size() - offset >= headerBytes) {
        const record_header header = readHeader(bytes.data() + offset);
        if (bytes.size() - offset - headerBytes < header.length)
            break;
        const std::string_view body
            = std::string_view(bytes).substr(offset + headerBytes, header.length);
        if (XXH3_64bits(body.data(), body.size()) != header.checksum)
            return base::error {base::error_code::logCorrupt,
                                path + " at byte " + std::to_string(offset)};
        const base::result<log_entry> entry = decodeEntry(body);
        if (const base::error *failure = base::errorOf(entry))
            return *failure;
        recovered.push_back(base::valueOf(entry));
        offset += headerBytes + header.length;
    }
    if (offset < bytes.size()) {
        base::logWarning("replication",
                         "cut " + std::to_string(bytes.size() - offset) + " bytes of torn tail");
        if (::ftruncate(file.get(), static_cast<off_t>(offset)) != 0 || ::fsync(file.get()) != 0)
            return storageError(path);
    }
    return log_store(std::move(file), std::move(recovered));
}

std::optional<base::error> log_store::append(const log_entry &entry)
{
    if (!writeWhole(m_file.get(), frameRecord(encodeEntry(entry))))
        return storageError("write");
    if (::fdatasync(m_file.get()) != 0)
        return storageError("sync");
    return std::nullopt;
}

} // namespace lycheeshunt::replication
