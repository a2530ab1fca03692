#pragma once

#include "experiment/records.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace Lagoonbank::Experiment {

/// Result of comparing a model's answer with the expected answer to its request.
struct AnswerVerdict
{
    AnswerCheck check = AnswerCheck::NotChecked;
    std::int64_t tokens = 0; ///< Tokens of the answer that belong to the request.
};

/// Token \a index of the stand-in engine's answer to \a requestId, with its trailing space.
std::string expectedToken(std::string_view requestId, std::int64_t index);

/// Compares a model's answer with the expected tokens. Returns Foreign if any token belongs to
/// another request, and Cut if tokens are missing or repeated, or if there are fewer than
/// \a wantedTokens. A \a wantedTokens of 0 skips the check of the length.
AnswerVerdict checkModelAnswer(std::string_view requestId, std::string_view text,
                               std::int64_t wantedTokens);

/// Receipt that the stand-in service returns for a request with \a body.
std::string expectedReceipt(std::string_view body);

/// Compares a plain service's answer with the receipt expected for \a requestBody.
AnswerCheck checkServiceAnswer(std::string_view requestBody, std::string_view answer);

/// Reassembles a streamed chat answer (server-sent events) from chunks of any size.
class StreamReader
{
public:
    void add(std::string_view chunk);
    const std::string &text() const { return m_text; }
    bool isDone() const { return m_isDone; }
    /// JSON of the stream's error event; empty if there was none.
    const std::string &error() const { return m_error; }
    /// Number of events with text received so far.
    std::int64_t deltaCount() const { return m_deltaCount; }

private:
    void readEvent(std::string_view line);

    std::string m_incompleteLine;
    std::string m_text;
    std::string m_error;
    std::int64_t m_deltaCount = 0;
    bool m_isDone = false;
};

} // namespace Lagoonbank::Experiment
