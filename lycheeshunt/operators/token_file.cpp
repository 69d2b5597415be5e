#include "lycheeshunt/operators/token_file.h"

#include "lycheeshunt/base/file_descriptor.h"

#include <fcntl.h>
#include <sys/stat.h>

namespace lycheeshunt::operators {

base::result<std::string> readToken(const std::string &path)
{
    constexpr std::size_t maxTokenBytes = 256;
    const base::error unsafe {base::error_code::tokenFileUnsafe, path};
    const base::file_descriptor file(::open(path.c_str(), O_RDONLY | O_CLOEXEC));
    struct stat facts = {};
    if (!file.isOpen() || ::fstat(file.get(), &facts) != 0)
        return unsafe;
    if (!S_ISREG(facts.st_mode) || (facts.st_mode & (S_IRWXG | S_IRWXO)) != 0)
        return unsafe;
    std::string text(maxTokenBytes + 1, '\0');
    const ssize_t length = ::read(file.get(), text.data(), text.size());
    if (length < 0 || static_cast<std::size_t>(length) > maxTokenBytes)
        return unsafe;
    text.resize(static_cast<std::size_t>(length));
    text.resize(text.find_last_not_of(" \r\n") + 1);
    if (text.empty() || text.find('\n') != std::string::npos)
        return unsafe;
    return text;
}

} // namespace lycheeshunt::operators
