#include "lycheeshunt/replication/memory_files.h"

#include <algorithm>

namespace lycheeshunt::replication {

bool memory_files::countStep()
{
    return ++m_disk->steps == m_disk->failAt;
}

std::optional<base::error> memory_files::stepResult()
{
    if (countStep())
        return base::error {m_disk->failure, "step " + std::to_string(m_disk->steps)};
    return std::nullopt;
}

void memory_files::failAtStep(std::uint64_t step, base::error_code code)
{
    m_disk->failAt = step;
    m_disk->failure = code;
}

std::size_t memory_files::usedBytes() const
{
    std::size_t used = 0;
    for (auto it = m_disk->files.begin(); it != m_disk->files.end(); ++it)
        used += it->second->bytes.size();
    return used;
}

base::result<std::vector<std::string>> memory_files::list() const
{
    std::vector<std::string> names;
    for (auto it = m_disk->files.begin(); it != m_disk->files.end(); ++it)
        names.push_back(it->first);
    return names;
}

base::result<std::string> memory_files::read(const std::string &name) const
{
    const auto found = m_disk->files.find(name);
    if (found == m_disk->files.end())
        return base::error {base::error_code::storageFailed, "read " + name};
    return found->second->bytes;
}

std::optional<base::error> memory_files::append(const std::string &name, std::string_view bytes)
{
    std::shared_ptr<content> &file = m_disk->files[name];
    if (!file)
        file = std::make_shared<content>();
    const std::size_t used = usedBytes();
    const std::size_t room = m_disk->capacity - std::min<std::size_t>(m_disk->capacity, used);
    std::optional<base::error> failure = stepResult();
    if (failure) {
        file->bytes += bytes.substr(0, bytes.size() / 2);
        return failure;
    }
    file->bytes += bytes.substr(0, room);
    if (bytes.size() > room)
        return base::error {base::error_code::diskFull, "write " + name};
    return std::nullopt;
}

std::optional<base::error> memory_files::sync(const std::string &name)
{
    std::optional<base::error> failure = stepResult();
    const auto found = m_disk->files.find(name);
    if (found == m_disk->files.end())
        return failure;
    content &file = *found->second;
    if (failure) {
        file.lostFrom = std::min(file.synced.size(), file.bytes.size());
        file.lostTo = file.bytes.size();
        return failure;
    }
    file.synced = file.bytes;
    std::fill_n(file.synced.begin() + static_cast<std::ptrdiff_t>(file.lostFrom),
                file.lostTo - file.lostFrom, '\0');
    return failure;
}

std::optional<base::error> memory_files::truncate(const std::string &name, std::uint64_t size)
{
    std::optional<base::error> failure = stepResult();
    const auto found = m_disk->files.find(name);
    if (failure || found == m_disk->files.end())
        return failure;
    content &file = *found->second;
    file.bytes.resize(size);
    file.lostTo = std::min<std::size_t>(file.lostTo, size);
    file.lostFrom = std::min(file.lostFrom, file.lostTo);
    return failure;
}

std::optional<base::error> memory_files::rename(const std::string &from, const std::string &to)
{
    std::optional<base::error> failure = stepResult();
    if (!failure) {
        m_disk->files[to] = m_disk->files[from];
        m_disk->files.erase(from);
    }
    return failure;
}

std::optional<base::error> memory_files::remove(const std::string &name)
{
    std::optional<base::error> failure = stepResult();
    if (!failure)
        m_disk->files.erase(name);
    return failure;
}

std::optional<base::error> memory_files::syncFolder()
{
    std::optional<base::error> failure = stepResult();
    if (!failure)
        m_disk->syncedFolder = m_disk->files;
    return failure;
}

memory_files memory_files::afterCrash(crash_loss loss) const
{
    memory_files survivor;
    const folder &names = loss == crash_loss::allUnsynced ? m_disk->syncedFolder : m_disk->files;
    for (auto it = names.begin(); it != names.end(); ++it) {
        const content &file = *it->second;
        std::string kept = file.synced;
        if (loss == crash_loss::nothing)
            kept = file.bytes;
        else if (loss == crash_loss::unsyncedHalf && file.bytes.size() > kept.size())
            kept = file.bytes.substr(0, (kept.size() + file.bytes.size()) / 2);
        survivor.m_disk->files.emplace(it->first, std::make_shared<content>(content {kept, kept}));
    }
    survivor.m_disk->syncedFolder = survivor.m_disk->files;
    return survivor;
}

void memory_files::flipByte(const std::string &name, std::size_t offset)
{
    content &file = *m_disk->files.at(name);
    file.bytes.at(offset) = static_cast<char>(file.bytes.at(offset) ^ 0x55);
    file.synced = file.bytes;
}

} // namespace lycheeshunt::replication
