// The files of one data folder on disk. Written bytes are durable only after sync(); the creation,
// renaming or removal of a file only after syncFolder().
//
//     result<disk_files> files = disk_files::open("/var/lib/lycheeshunt");
//     files.append("vote", bytes);
//     files.sync("vote");
//
// Calls fail with diskFull or storageFailed. Not thread-safe.

#pragma once

#include "lycheeshunt/base/file_descriptor.h"
#include "lycheeshunt/base/result.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lycheeshunt::replication {

class disk_files
{
public:
    // Creates the folder if it does not exist.
    static base::result<disk_files> open(const std::string &folder);

    base::result<std::vector<std::string>> list() const;
    // Precondition: the file exists.
    base::result<std::string> read(const std::string &name) const;

    // Creates the file if it does not exist.
    std::optional<base::error> append(const std::string &name, std::string_view bytes);
    std::optional<base::error> sync(const std::string &name);
    std::optional<base::error> truncate(const std::string &name, std::uint64_t size);
    // Replaces an existing file that has the new name.
    std::optional<base::error> rename(const std::string &from, const std::string &to);
    std::optional<base::error> remove(const std::string &name);
    std::optional<base::error> syncFolder();

private:
    disk_files(std::string folder, base::file_descriptor directory);

    std::string pathOf(const std::string &name) const { return m_folder + "/" + name; }
    int descriptorOf(const std::string &name);

    std::string m_folder;
    base::file_descriptor m_directory;
    std::map<std::string, base::file_descriptor> m_open;
};

} // namespace lycheeshunt::replication
