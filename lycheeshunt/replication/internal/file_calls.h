// Operations on a file_set, dispatched to its alternative.

#pragma once

#include "lycheeshunt/replication/file_set.h"

namespace lycheeshunt::replication::internal {

inline base::result<std::string> readFile(const file_set &files, const std::string &name)
{
    return std::visit([&](const auto &backend) { return backend.read(name); }, files);
}

inline base::result<std::vector<std::string>> listFiles(const file_set &files)
{
    return std::visit([](const auto &backend) { return backend.list(); }, files);
}

inline std::optional<base::error> appendFile(file_set &files, const std::string &name,
                                             std::string_view bytes)
{
    return std::visit([&](auto &backend) { return backend.append(name, bytes); }, files);
}

inline std::optional<base::error> syncFile(file_set &files, const std::string &name)
{
    return std::visit([&](auto &backend) { return backend.sync(name); }, files);
}

inline std::optional<base::error> truncateFile(file_set &files, const std::string &name,
                                               std::uint64_t size)
{
    return std::visit([&](auto &backend) { return backend.truncate(name, size); }, files);
}

inline std::optional<base::error> renameFile(file_set &files, const std::string &from,
                                             const std::string &to)
{
    return std::visit([&](auto &backend) { return backend.rename(from, to); }, files);
}

inline std::optional<base::error> removeFile(file_set &files, const std::string &name)
{
    return std::visit([&](auto &backend) { return backend.remove(name); }, files);
}

inline std::optional<base::error> syncFolder(file_set &files)
{
    return std::visit([](auto &backend) { return backend.syncFolder(); }, files);
}

} // namespace lycheeshunt::replication::internal
