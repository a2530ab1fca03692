#pragma once

#include "base/units.h"

namespace Lagoonbank::Capacity {

/// Learns how many prompt tokens the engines of a service prefill per millisecond.
///
/// A weighted linear regression of the time to the first event on the uncached tokens. The constant
/// part, which is the time for decoding the first event, would otherwise make short prompts appear
/// to be prefilled slowly: 130 tokens take 2 ms, and the 8 tokens of the event 24 ms. Times that
/// are longer than predicted have less weight than shorter ones, as they may contain waits for
/// prompts that the router does not know.
class PrefillRate
{
public:
    struct Options
    {
        double initialTokensPerMs = 60;
        double minTokensPerMs = 5;
        double maxTokensPerMs = 1000;
        /// Factor by which the weight of all earlier observations decreases with a new one. The
        /// rate is a property of the machines; a router gets up to 18 answers a second of a
        /// service.
        double decay = 0.998;
        /// Number of prompts with the following deviation from the mean length that the initial
        /// rate is worth.
        double initialWeight = 1;
        double initialDeviation = 4000; ///< In tokens.
        /// Longest constant part. Longer ones contain waits that are not recognised.
        Base::Duration maxConstantTime = std::chrono::milliseconds(100);
        /// Weight of a time that is longer than predicted. With equal weights the rate fell from 60
        /// to 13 tokens per millisecond after the loss of most engines, when 24 routers send the
        /// prompts of all chats at once; then too little was sent to correct it.
        double longerWeight = 0.05;
        /// Longest time for the prefill relative to the predicted one; longer ones count as this.
        /// It limits the effect of single answers of a frozen endpoint.
        double maxExcess = 2;
    };

    PrefillRate() = default;
    explicit PrefillRate(const Options &options)
        : m_options(options)
        , m_tokensPerMs(options.initialTokensPerMs)
    { }

    /// Records a request that found no prompt waiting for prefill. \a elapsed is the time from
    /// sending to the first event without the network.
    void firstEventObserved(Base::Tokens uncached, Base::Duration elapsed, double slowdown);
    double tokensPerMs() const { return m_tokensPerMs; }
    /// Time from the end of the prefill to the first event, without slowdown.
    Base::Duration constantTime() const { return m_constantTime; }
    /// Time in which \a uncached tokens are prefilled.
    Base::Duration prefillTime(Base::Tokens uncached, double slowdown) const;

private:
    void computeRate();
    void computeConstantTime();

    Options m_options;
    double m_tokensPerMs = Options{}.initialTokensPerMs;
    Base::Duration m_constantTime{};
    /// Weighted sums over the observed requests; lengths in tokens, times in milliseconds.
    double m_count = 0;
    double m_lengths = 0;
    double m_times = 0;
    double m_squaredLengths = 0;
    double m_lengthsTimesTimes = 0;
};

} // namespace Lagoonbank::Capacity
