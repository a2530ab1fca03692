#pragma once

#include "exchange/eventstream.h"
#include "exchange/exchange.h"
#include "exchange/modelcall.h"

namespace Lagoonbank::Exchange {

/// Processes a chat completion: streams tokens from an engine and resumes a broken stream at its
/// offset. If that is not possible, it continues at another endpoint after the tokens that the
/// caller already has.
class ModelExchange final : public Exchange
{
public:
    ModelExchange(Options options, ModelCall call);

protected:
    Http::Call makeCall(const Target &target, bool resume) override;
    void onHead(int status, const Http::Headers &headers) override;
    void onPiece(std::string_view piece) override;
    void onCallCompleted(Http::CallResult result) override;
    bool hasBegun() const override { return m_begun; }
    Base::Tokens keptTokens() const override { return Base::Tokens(m_nextIndex); }
    void endBroken(const Refusal &refusal) override;
    void cancelUpstream(const Target &target) override;

private:
    void onEvent(const StreamEvent &event);
    void forward();
    void sendAnswer();

    ModelCall m_call;
    EventStreamReader m_reader;
    std::int64_t m_nextIndex = 0; ///< Number of tokens received in all attempts.
    std::string m_text; ///< Text of all tokens received.
    std::string m_unsent; ///< Text received but not yet written to the caller.
    std::optional<StreamDone> m_done;
    bool m_begun = false;
    bool m_isStream = false; ///< The running attempt was answered with status 200.
    bool m_isMalformed = false;
};

} // namespace Lagoonbank::Exchange
