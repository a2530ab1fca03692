#include "logging/logging.h"

#include "logging/logger.h"

#include <easylogging++.h>
#include <nlohmann/json.hpp>

#include <array>
#include <chrono>
#include <cstdio>
#include <ctime>
#include <iostream>
#include <string>
#include <utility>

INITIALIZE_EASYLOGGINGPP

namespace Lagoonbank::Logging {

namespace {

constexpr std::array<std::string_view, 4> levelNames{"debug", "info", "warning", "error"};

Options &currentOptions()
{
    static Options options;
    return options;
}

std::string utcNow()
{
    const auto now = std::chrono::system_clock::now();
    const std::time_t seconds = std::chrono::system_clock::to_time_t(now);
    const auto sinceEpoch =
        std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch());
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    std::array<char, 32> date{};
    std::strftime(date.data(), date.size(), "%Y-%m-%dT%H:%M:%S", &parts);
    std::array<char, 8> fraction{};
    std::snprintf(fraction.data(), fraction.size(), ".%03dZ",
                  static_cast<int>(sinceEpoch.count() % 1000));
    return std::string(date.data()) + fraction.data();
}

Level levelOf(el::Level level)
{
    switch (level) {
    case el::Level::Debug:
        return Level::Debug;
    case el::Level::Warning:
        return Level::Warning;
    case el::Level::Error:
        return Level::Error;
    default:
        return Level::Info;
    }
}

el::Level nativeLevel(Level level)
{
    switch (level) {
    case Level::Debug:
        return el::Level::Debug;
    case Level::Warning:
        return el::Level::Warning;
    case Level::Error:
        return el::Level::Error;
    case Level::Info:
        break;
    }
    return el::Level::Info;
}

/// Keeps a message on one line even if its values contain line breaks.
std::string withoutControlCharacters(std::string text)
{
    for (char &c : text) {
        if (static_cast<unsigned char>(c) < 0x20 || c == 0x7f)
            c = ' ';
    }
    return text;
}

/// Receives all lines from easylogging++ and writes them to the configured stream.
class Sink final : public el::LogDispatchCallback
{
protected:
    void handle(const el::LogDispatchData *data) override
    {
        const el::LogMessage &message = *data->logMessage();
        const std::string &part = message.logger()->id();
        const std::string_view level = toString(levelOf(message.level()));
        const Options &options = currentOptions();
        std::ostream &stream = options.stream ? *options.stream : std::cerr;
        if (options.json) {
            const nlohmann::ordered_json line{
                {"time", utcNow()}, {"level", level}, {"part", part}, {"text", message.message()}};
            constexpr auto replaceInvalid = nlohmann::ordered_json::error_handler_t::replace;
            stream << line.dump(-1, ' ', false, replaceInvalid) << '\n';
        } else {
            stream << utcNow() << ' ' << level << ' ' << part << ": "
                   << withoutControlCharacters(message.message()) << '\n';
        }
        stream.flush();
    }
};

/// Replaces the default output of easylogging++ on the first call.
void installSink()
{
    static const bool isInstalled = [] {
        el::Helpers::uninstallLogDispatchCallback<el::base::DefaultLogDispatchCallback>(
            "DefaultLogDispatchCallback");
        return el::Helpers::installLogDispatchCallback<Sink>("LagoonbankSink");
    }();
    static_cast<void>(isInstalled);
}

} // namespace

void configure(const Options &options)
{
    currentOptions() = options;
}

bool isEnabled(Level level)
{
    return level >= currentOptions().level;
}

Errors::Result<Level> parseLevel(std::string_view text)
{
    for (std::size_t i = 0; i < levelNames.size(); ++i) {
        if (levelNames.at(i) == text)
            return static_cast<Level>(i);
    }
    return Errors::makeError(Errors::ErrorKind::BadSettings,
                             "\"" + std::string(text)
                                 + "\" is not a level; write debug, info, warning or error");
}

std::string_view toString(Level level)
{
    return levelNames.at(static_cast<std::size_t>(level));
}

Logger::Logger(std::string part)
    : m_part(std::move(part))
{ }

void Logger::dispatch(Level level, const std::string &text) const
{
    installSink();
    el::Logger *logger = el::Loggers::getLogger(m_part);
    el::base::Writer(nativeLevel(level), __FILE__, __LINE__, __func__).construct(logger) << text;
}

} // namespace Lagoonbank::Logging
