#include "lycheeshunt/ctl/explain.h"

#include <algorithm>
#include <ostream>

namespace lycheeshunt::ctl {

namespace {

// Returns the line from the given field on: log collectors may put a prefix before it.
std::string suffixFrom(const std::string &line, const std::string &field)
{
    const std::size_t start = line.find(field);
    return start == std::string::npos ? std::string() : line.substr(start);
}

bool isAboutFlow(const std::string &line, const std::string &caller)
{
    const std::string rest = suffixFrom(line, " flow=" + caller);
    const std::size_t end = caller.size() + std::string(" flow=").size();
    return !rest.empty() && (rest.size() == end || rest[end] == '>' || rest[end] == ' ');
}

bool hasEvent(const std::vector<std::string> &lines, const std::string &event)
{
    return std::any_of(lines.begin(), lines.end(), [&](const std::string &line) {
        return line.find(event) != std::string::npos;
    });
}

} // namespace

exit_status explainFlow(const std::string &caller, const std::vector<std::string> &lines,
                        std::ostream &out)
{
    std::vector<std::string> found;
    std::uint64_t omitted = 0;
    for (const std::string &line : lines) {
        omitted += line.find(" omitted=") != std::string::npos ? 1 : 0;
        if (isAboutFlow(line, caller))
            found.push_back(suffixFrom(line, "time="));
    }
    std::stable_sort(found.begin(), found.end(),
                     [](const std::string &left, const std::string &right) {
                         return left.substr(0, left.find(" process="))
                             < right.substr(0, right.find(" process="));
                     });
    for (const std::string &line : found)
        out << line << "\n";
    if (!hasEvent(found, "part=routing event=steered"))
        out << "missing: no entry steered this flow; its log is not here, or its lines were left "
               "out\n";
    if (!hasEvent(found, "part=flows event=opened") && !hasEvent(found, "part=flows event=adopted"))
        out << "missing: no agent opened or adopted this flow\n";
    if (omitted > 0)
        out << "incomplete: " << omitted << " lines say that lines before them were left out\n";
    return found.empty() ? refused : done;
}

} // namespace lycheeshunt::ctl
