#include "logging/decisionlog.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>
#include <ctime>
#include <utility>

namespace Lagoonbank::Logging {

namespace {

constexpr Base::Duration reportInterval = std::chrono::seconds(1);

void appendText(std::string &line, std::string_view text)
{
    constexpr std::string_view digits = "0123456789abcdef";
    line += '"';
    for (const char c : text) {
        const auto byte = static_cast<unsigned char>(c);
        if (c == '"' || c == '\\') {
            line += '\\';
            line += c;
        } else if (byte < 0x20 || byte >= 0x7f) {
            // Escapes bytes outside ASCII one by one, so that the line is UTF-8 for any input.
            line += "\\u00";
            line += digits[byte >> 4U];
            line += digits[byte & 15U];
        } else {
            line += c;
        }
    }
    line += '"';
}

void appendValue(std::string &line, const Field::Value &value)
{
    std::array<char, 32> text{};
    if (const auto *string = std::get_if<std::string_view>(&value)) {
        appendText(line, *string);
    } else if (const auto *number = std::get_if<std::int64_t>(&value)) {
        const auto end = std::to_chars(text.begin(), text.end(), *number).ptr;
        line.append(text.data(), end);
    } else if (const auto *real = std::get_if<double>(&value)) {
        const auto end =
            std::to_chars(text.begin(), text.end(), *real, std::chars_format::fixed, 3).ptr;
        line.append(text.data(), end);
    } else {
        line += std::get<bool>(value) ? "true" : "false";
    }
}

std::string utcText(Base::WallTime time)
{
    const auto sinceEpoch =
        std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch());
    const auto seconds = static_cast<std::time_t>(sinceEpoch.count() / 1000);
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    std::array<char, 40> text{};
    const std::size_t size = std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &parts);
    std::snprintf(text.data() + size, text.size() - size, ".%03dZ",
                  static_cast<int>(sinceEpoch.count() % 1000));
    return text.data();
}

} // namespace

DecisionLog::DecisionLog(Options options)
    : m_options(std::move(options))
    , m_tokens(m_options.burst)
    , m_lastRefillTime(m_options.now())
    , m_lastReportTime(m_lastRefillTime)
{ }

bool DecisionLog::shouldLogRequest()
{
    refillTokens();
    if (m_tokens >= 1)
        return true;
    ++m_suppressed;
    ++m_suppressedBefore;
    return false;
}

void DecisionLog::request(std::string_view part, std::string_view message, Fields fields)
{
    if (!shouldLogRequest())
        return;
    m_tokens -= 1;
    m_options.output->write(
        formatLine(part, message, fields, std::exchange(m_suppressedBefore, 0)));
}

void DecisionLog::event(std::string_view part, std::string_view message, Fields fields)
{
    m_options.output->write(formatLine(part, message, fields));
}

void DecisionLog::flush()
{
    reportSuppressed();
    m_options.output->flush();
}

std::string DecisionLog::formatLine(std::string_view part, std::string_view message, Fields fields,
                                    std::uint64_t suppressedBefore) const
{
    std::string text;
    text.reserve(256);
    text += R"({"time":")";
    text += utcText(m_options.wallNow());
    text += R"(","part":)";
    appendText(text, part);
    text += R"(,"text":)";
    appendText(text, message);
    for (const Field &field : fields) {
        text += ',';
        appendText(text, field.name);
        text += ':';
        appendValue(text, field.value);
    }
    if (suppressedBefore > 0) {
        text += R"(,"left_out_before":)";
        text += std::to_string(suppressedBefore);
    }
    text += '}';
    return text;
}

void DecisionLog::refillTokens()
{
    const Base::MonoTime now = m_options.now();
    m_tokens += Base::toSeconds(now - m_lastRefillTime) * m_options.linesPerSecond;
    m_tokens = std::min(m_tokens, m_options.burst);
    m_lastRefillTime = now;
}

void DecisionLog::reportSuppressed()
{
    const Base::MonoTime now = m_options.now();
    const std::uint64_t dropped = m_options.output->droppedLines() - m_reportedDropped;
    if ((m_suppressed == 0 && dropped == 0) || now - m_lastReportTime < reportInterval)
        return;
    m_lastReportTime = now;
    m_reportedDropped += dropped;
    event("log", "Lines were left out.",
          {{"too_many", std::exchange(m_suppressed, 0)}, {"not_read", dropped}});
}

} // namespace Lagoonbank::Logging
