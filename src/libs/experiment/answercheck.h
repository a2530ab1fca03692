#pragma once

#include "experiment/records.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace Lagoonbank::Experiment {

/// Result of comparing a model's answer with the one that its request must get.
struct AnswerVerdict
{
    AnswerCheck check = AnswerCheck::NotChecked;
    std::int64_t tokens = 0;
};

/// The stand-in engine's token \a index of the answer to \a requestId, with its trailing space.
std::string expectedToken(std::string_view requestId, std::int64_t index);

/// Foreign if any token is not of this request; Cut if tokens are missing in the middle, repeated
/// or fewer than \a wantedTokens (where more than 0 are wanted).
AnswerVerdict checkModelAnswer(std::string_view requestId, std::string_view text,
                               std::int64_t wantedTokens);

/// The stand-in service's receipt for a request with that body.
std::string expectedReceipt(std::string_view body);

/// Compares a plain service's answer with the one that the request's body must get.
AnswerCheck checkServiceAnswer(std::string_view requestBody, std::string_view answer);

/// Puts the pieces of a streamed chat answer together.
class StreamReader
{
public:
    void add(std::string_view piece);
    const std::string &text() const { return m_text; }
    bool isDone() const { return m_isDone; }
    /// The error event's object as JSON; empty if there was none.
    const std::string &error() const { return m_error; }
    /// Pieces of text so far.
    std::int64_t pieces() const { return m_pieces; }

private:
    void readEvent(std::string_view line);

    std::string m_rest;
    std::string m_text;
    std::string m_error;
    std::int64_t m_pieces = 0;
    bool m_isDone = false;
};

} // namespace Lagoonbank::Experiment
