#include "lycheeshunt/replication/disk_files.h"

#include <fcntl.h>
#include <sys/stat.h>

#include <cerrno>
#include <cstdio>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <sstream>

namespace lycheeshunt::replication {

namespace {

base::error storageError(const std::string &what)
{
    const base::error_code code = errno == ENOSPC || errno == EDQUOT
        ? base::error_code::diskFull
        : base::error_code::storageFailed;
    return base::error {code, what + ": " + std::strerror(errno)};
}

std::optional<base::error> errorUnless(bool isDone, const std::string &what)
{
    if (isDone)
        return std::nullopt;
    return storageError(what);
}

bool writeFully(int descriptor, std::string_view bytes)
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

disk_files::disk_files(std::string folder, base::file_descriptor directory)
    : m_folder(std::move(folder)), m_directory(std::move(directory))
{
}

base::result<disk_files> disk_files::open(const std::string &folder)
{
    constexpr mode_t folderMode = 0700;
    if (::mkdir(folder.c_str(), folderMode) != 0 && errno != EEXIST)
        return storageError(folder);
    base::file_descriptor directory(::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
    if (!directory.isOpen())
        return storageError(folder);
    return disk_files(folder, std::move(directory));
}

base::result<std::vector<std::string>> disk_files::list() const
{
    std::vector<std::string> names;
    std::error_code failure;
    const std::filesystem::directory_iterator first(m_folder, failure);
    if (failure)
        return base::error {base::error_code::storageFailed, m_folder + ": " + failure.message()};
    for (const std::filesystem::directory_entry &entry : first)
        names.push_back(entry.path().filename().string());
    return names;
}

base::result<std::string> disk_files::read(const std::string &name) const
{
    const std::ifstream file(pathOf(name), std::ios::binary);
    std::ostringstream text;
    if (!file)
        return storageError(pathOf(name));
    // An empty file sets the fail bit of `text`, which is no error; a read error sets the bad bit
    // of `file`.
    text << file.rdbuf();
    if (file.bad())
        return storageError(pathOf(name));
    return text.str();
}

int disk_files::descriptorOf(const std::string &name)
{
    constexpr mode_t fileMode = 0600;
    const auto openFile = m_open.find(name);
    if (openFile != m_open.end())
        return openFile->second.get();
    base::file_descriptor opened(
        ::open(pathOf(name).c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, fileMode));
    const int descriptor = opened.get();
    if (opened.isOpen())
        m_open.emplace(name, std::move(opened));
    return descriptor;
}

std::optional<base::error> disk_files::append(const std::string &name, std::string_view bytes)
{
    const int descriptor = descriptorOf(name);
    return errorUnless(descriptor >= 0 && writeFully(descriptor, bytes), "write " + name);
}

std::optional<base::error> disk_files::sync(const std::string &name)
{
    const int descriptor = descriptorOf(name);
    return errorUnless(descriptor >= 0 && ::fdatasync(descriptor) == 0, "sync " + name);
}

std::optional<base::error> disk_files::truncate(const std::string &name, std::uint64_t size)
{
    const int descriptor = descriptorOf(name);
    return errorUnless(descriptor >= 0 && ::ftruncate(descriptor, static_cast<off_t>(size)) == 0,
                       "truncate " + name);
}

std::optional<base::error> disk_files::rename(const std::string &from, const std::string &to)
{
    m_open.erase(from);
    m_open.erase(to);
    return errorUnless(std::rename(pathOf(from).c_str(), pathOf(to).c_str()) == 0,
                       "rename " + from);
}

std::optional<base::error> disk_files::remove(const std::string &name)
{
    m_open.erase(name);
    return errorUnless(::unlink(pathOf(name).c_str()) == 0, "remove " + name);
}

std::optional<base::error> disk_files::syncFolder()
{
    return errorUnless(::fsync(m_directory.get()) == 0, "sync " + m_folder);
}

} // namespace lycheeshunt::replication
