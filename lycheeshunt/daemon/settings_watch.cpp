#include "lycheeshunt/daemon/settings_watch.h"

#include "lycheeshunt/base/log.h"
#include "lycheeshunt/settings/settings_file.h"

namespace lycheeshunt::daemon {

settings_watch::settings_watch(std::string path, const settings::node_settings &current)
    : m_path(std::move(path)), m_current(std::make_shared<const settings::node_settings>(current))
{
}

std::optional<settings::node_settings> settings_watch::poll()
{
    const base::result<settings::node_settings> read = settings::readSettings(m_path);
    if (const base::error *failure = base::errorOf(read)) {
        if (failure->text() != m_lastFault)
            base::logWarning("settings", "not reloaded: " + failure->text());
        m_lastFault = failure->text();
        return std::nullopt;
    }
    m_lastFault.clear();
    if (base::valueOf(read) == *m_current)
        return std::nullopt;
    m_current = std::make_shared<const settings::node_settings>(base::valueOf(read));
    base::logInfo("settings", "reloaded: control addresses are applied, the rest at a restart");
    return *m_current;
}

} // namespace lycheeshunt::daemon
