#include "lycheeshunt/metrics/exposition.h"

#include "lycheeshunt/base/overloaded.h"
#include "lycheeshunt/metrics/report.h"

#include <sstream>
#include <vector>

namespace lycheeshunt::metrics {

namespace {

const std::string prefix = "lycheeshunt_";

const char *typeName(const sample_value &value)
{
    return std::visit(base::overloaded {
                          [](const counter_value &) { return "counter"; },
                          [](const gauge_value &) { return "gauge"; },
                          [](const histogram_value &) { return "histogram"; },
                      },
                      value);
}

std::string escaped(const std::string &text)
{
    std::string out;
    for (const char c : text) {
        if (c == '\\' || c == '"')
            out += '\\';
        if (c == '\n')
            out += "\\n";
        else
            out += c;
    }
    return out;
}

// Formats labels as {duty="flows",code="302"}. A non-empty `extra` is appended as it is.
std::string labelText(const std::vector<label> &labels, const std::string &extra)
{
    std::string text;
    for (const label &label : labels)
        text += (text.empty() ? "" : ",") + label.name + "=\"" + escaped(label.value) + "\"";
    if (!extra.empty())
        text += (text.empty() ? "" : ",") + extra;
    return text.empty() ? text : "{" + text + "}";
}

std::string metadataLines(const sample &sample)
{
    const std::string name = prefix + sample.name;
    std::ostringstream text;
    text << "# HELP " << name << " " << escaped(sample.help) << "\n"
         << "# TYPE " << name << " " << typeName(sample.value) << "\n";
    return text.str();
}

void writeHistogram(std::ostream &out, const std::string &name, const std::vector<label> &labels,
                    const histogram_value &value)
{
    std::uint64_t cumulative = 0;
    for (std::size_t i = 0; i < value.counts.size(); ++i) {
        cumulative += value.counts[i];
        std::ostringstream bound;
        if (i < value.bounds.size())
            bound << value.bounds[i];
        else
            bound << "+Inf";
        out << name << "_bucket" << labelText(labels, "le=\"" + bound.str() + "\"") << " "
            << cumulative << "\n";
    }
    out << name << "_sum" << labelText(labels, "") << " " << value.sum << "\n";
    out << name << "_count" << labelText(labels, "") << " " << cumulative << "\n";
}

void writeSample(std::ostream &out, const std::string &duty, const sample &sample)
{
    const std::string name = prefix + sample.name;
    std::vector<label> labels {label {"duty", duty}};
    for (const label &sampleLabel : sample.labels)
        labels.push_back(sampleLabel);
    std::visit(base::overloaded {
                   [&](const counter_value &value) {
                       out << name << labelText(labels, "") << " " << value.count << "\n";
                   },
                   [&](const gauge_value &value) {
                       out << name << labelText(labels, "") << " " << value.reading << "\n";
                   },
                   [&](const histogram_value &value) { writeHistogram(out, name, labels, value); },
               },
               sample.value);
}

} // namespace

std::string expositionText(const std::map<std::string, report> &reports)
{
    std::map<std::string, std::string> sampleLines;
    std::map<std::string, std::string> metadata;
    for (auto it = reports.begin(); it != reports.end(); ++it) {
        for (const sample &sample : it->second.samples) {
            std::ostringstream body;
            writeSample(body, it->first, sample);
            sampleLines[sample.name] += body.str();
            metadata.emplace(sample.name, metadataLines(sample));
        }
    }
    std::string text;
    for (auto it = sampleLines.begin(); it != sampleLines.end(); ++it)
        text += metadata.at(it->first) + it->second;
    return text;
}

} // namespace lycheeshunt::metrics
