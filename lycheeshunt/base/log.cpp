#include "lycheeshunt/base/log.h"

#include <boost/log/attributes/constant.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/trivial.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/log/utility/setup/console.hpp>

#include <iostream>
#include <string>

namespace lycheeshunt::base {

namespace {

using boost::log::trivial::severity_level;

void write(severity_level level, std::string_view part, std::string_view sentence)
{
    boost::log::sources::severity_logger_mt<severity_level> &logger
        = boost::log::trivial::logger::get();
    BOOST_LOG_SEV(logger, level) << "[" << part << "] " << sentence;
}

} // namespace

void startLog(std::string_view processName)
{
    boost::log::add_common_attributes();
    boost::log::core::get()->add_global_attribute(
        "Process", boost::log::attributes::constant<std::string>(std::string(processName)));
    boost::log::add_console_log(std::clog, boost::log::keywords::auto_flush = true,
                                boost::log::keywords::format
                                = "%TimeStamp% %Process% %Severity% %Message%");
}

void logInfo(std::string_view part, std::string_view sentence)
{
    write(severity_level::info, part, sentence);
}

void logWarning(std::string_view part, std::string_view sentence)
{
    write(severity_level::warning, part, sentence);
}

void logError(std::string_view part, std::string_view sentence)
{
    write(severity_level::error, part, sentence);
}

} // namespace lycheeshunt::base
