// The files of one data folder, on the disk. Nothing counts as written before sync(), and no name
// as made, renamed or removed before syncFolder().
//
//     result<disk_files> files = disk_files::open("/var/lib/lycheeshunt");
//     files.append("vote", bytes);
//     files.sync("vote");
//
// Each call returns the error that it met: diskFull or storageFailed. Not thread-safe.

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
    // Makes the folder if it is missing.
    static base::result<disk_files> open(const std::string &folder);

    base::result<std::vector<std::string>> list() const;
    // Precondition: the file exists.
    base::result<std::string> read(const std::string &name) const;

    // Makes the file if it is missing.
    std::optional<base::error> append(const std::string &name, std::string_view bytes);
    std::optional<base::error> sync(const std::string &name);
    std::optional<base::error> truncate(const std::string &name, std::uint64_t size);
    // Takes the place of a file that has the new name.
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
