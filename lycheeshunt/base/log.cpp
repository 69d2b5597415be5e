#include "lycheeshunt/base/log.h"

#include "lycheeshunt/base/line_writer.h"
#include "lycheeshunt/base/log_budget.h"

#include <boost/log/attributes/constant.hpp>
#include <boost/log/attributes/value_extraction.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions/message.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/trivial.hpp>
#include <boost/log/utility/formatting_ostream.hpp>

#include <unistd.h>

#include <cstdio>
#include <ctime>
#include <memory>
#include <string>

namespace lycheeshunt::base {

namespace {

using boost::log::trivial::severity_level;

// About 200 KB of lines; more than all kinds of line together may write in one second.
constexpr std::size_t queueCapacityLines = 1024;
constexpr std::uint32_t maxLinesPerSecondPerKind = 20;

// Passes formatted lines to the writer thread without blocking.
class queueing_backend : public boost::log::sinks::basic_formatted_sink_backend<char>
{
public:
    queueing_backend() : m_writer(STDOUT_FILENO, queueCapacityLines) { }

    void consume(const boost::log::record_view &, const std::string &line)
    {
        m_writer.tryWrite(line + "\n");
    }

    std::uint64_t dropped() const { return m_writer.dropped(); }

private:
    line_writer m_writer;
};

using queueing_sink = boost::log::sinks::synchronous_sink<queueing_backend>;

boost::shared_ptr<queueing_sink> &installedSink()
{
    static boost::shared_ptr<queueing_sink> sink;
    return sink;
}

log_budget &budget()
{
    static log_budget shared(maxLinesPerSecondPerKind);
    return shared;
}

void write(severity_level level, std::string_view part, std::string_view event,
           const std::string &fields)
{
    if (!installedSink())
        return;
    const std::string kind = std::string(part) + " " + std::string(event);
    const std::optional<std::uint64_t> omitted = budget().tryAcquire(kind, clock_time::steady());
    if (!omitted)
        return;
    boost::log::sources::severity_logger_mt<severity_level> &logger
        = boost::log::trivial::logger::get();
    const std::string omittedField = *omitted == 0 ? "" : " omitted=" + std::to_string(*omitted);
    BOOST_LOG_SEV(logger, level) << "part=" << part << " event=" << event << fields << omittedField;
}

// "2026-05-11 07:21:22.845123", in UTC.
std::string wallTime()
{
    timespec now {};
    ::clock_gettime(CLOCK_REALTIME, &now);
    tm parts {};
    ::gmtime_r(&now.tv_sec, &parts);
    constexpr long nanosPerMicro = 1000;
    constexpr std::size_t longest = 32;
    char text[longest];
    const std::size_t length = std::strftime(text, sizeof text, "%Y-%m-%d %H:%M:%S", &parts);
    std::snprintf(text + length, sizeof text - length, ".%06ld", now.tv_nsec / nanosPerMicro);
    return text;
}

// Formats by hand because initializing the library's format-string parser takes longer than the
// rest of the log's start.
void formatLine(const boost::log::record_view &record, boost::log::formatting_ostream &line)
{
    line << "time=" << wallTime()
         << " process=" << boost::log::extract<std::string>("Process", record)
         << " level=" << boost::log::extract<severity_level>("Severity", record) << " "
         << record[boost::log::expressions::smessage];
}

// Quotes the sentence, since it contains spaces; replaces quotes and line breaks in it.
std::string quoted(std::string_view sentence)
{
    std::string text = " text=\"";
    for (const char character : sentence)
        text += character == '"' || character == '\n' ? '\'' : character;
    return text + "\"";
}

} // namespace

void startLog(std::string_view processName)
{
    boost::log::core::get()->add_global_attribute(
        "Process", boost::log::attributes::constant<std::string>(std::string(processName)));
    installedSink() = boost::make_shared<queueing_sink>();
    installedSink()->set_formatter(&formatLine);
    boost::log::core::get()->add_sink(installedSink());
}

void stopLog()
{
    boost::log::core::get()->remove_sink(installedSink());
    installedSink().reset();
}

void logEvent(std::string_view part, std::string_view event,
              std::initializer_list<log_field> fields)
{
    std::string text;
    for (const log_field &field : fields)
        text += " " + field.name + "=" + (field.value.empty() ? "none" : field.value);
    write(severity_level::info, part, event, text);
}

void logInfo(std::string_view part, std::string_view sentence)
{
    write(severity_level::info, part, "note", quoted(sentence));
}

void logWarning(std::string_view part, std::string_view sentence)
{
    write(severity_level::warning, part, "warning", quoted(sentence));
}

void logError(std::string_view part, std::string_view sentence)
{
    write(severity_level::error, part, "error", quoted(sentence));
}

std::uint64_t logLinesDropped()
{
    return installedSink() ? installedSink()->locked_backend()->dropped() : 0;
}

} // namespace lycheeshunt::base
