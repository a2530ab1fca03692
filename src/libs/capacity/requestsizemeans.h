#pragma once

#include "capacity/kvcachebudget.h"

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <cstdint>

namespace Lagoonbank::Capacity {

/// Mean sizes of the requests of one service, learned from those that declare their length.
class RequestSizeMeans
{
public:
    struct Options
    {
        /// Weight of the newest request once as many as its reciprocal are known. Until then all
        /// have the same weight.
        double weight = 0.02;
        /// A request enters a mean with at most this factor of the mean, so that a single wrong
        /// length does not change the estimate of all others.
        double maximumFactor = 8;
        /// Share of its shared prompt with which a request of another router counts, as long as few
        /// requests have the same prompt.
        double sharedShare = 1;
        /// Means before the first request.
        Base::Tokens initialShared{2000};
        Base::Tokens initialOwn{1000};
        /// Maximum number of kinds; others count with the mean of the service.
        std::size_t maximumKinds = 1024;
    };

    RequestSizeMeans()
        : RequestSizeMeans(Options())
    { }
    explicit RequestSizeMeans(const Options &options);

    /// A request of the kind with this declared length was sent.
    void record(std::uint64_t kind, const RequestSize &size);
    /// Mean tokens with which each of \a othersRequests requests of other routers at an endpoint
    /// counts. Their shared prompts are no longer than \a knownPrompts, those that the endpoint is
    /// known to hold beyond the ones of this router's requests.
    double othersTokens(double othersRequests, Base::Tokens knownPrompts) const;
    /// Mean own tokens of the kind; that of the service if no request of the kind is known.
    Base::Tokens ownTokens(std::uint64_t kind) const;

private:
    struct Mean
    {
        double value = 0;
        double count = 1; ///< The initial value counts as one request.
    };

    void add(Mean &mean, Base::Tokens tokens) const;

    Options m_options;
    Mean m_shared;
    Mean m_own;
    absl::flat_hash_map<std::uint64_t, Mean> m_ownByKind;
};

} // namespace Lagoonbank::Capacity
