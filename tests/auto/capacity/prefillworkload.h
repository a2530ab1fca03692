#pragma once

#include "base/units.h"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

namespace Lagoonbank::Test {

/// The kinds of request of a deployment whose engines are short of time for prefill.
struct PrefillWorkload
{
    struct Kind
    {
        std::string name;
        int priority = 0;
        std::int64_t shared = 0; ///< Prompt tokens.
        std::int64_t own = 0; ///< Prompt tokens.
        int events = 0;
        double requestsPerSecond = 0;
        Base::Duration target{};
        Base::Duration timeout{};
    };
    static constexpr std::size_t kindCount = 3;

    static const std::array<Kind, kindCount> &kinds()
    {
        using namespace std::chrono_literals;
        static const std::array<Kind, kindCount> all{{{.name = "urgent",
                                                       .priority = 0,
                                                       .shared = 699,
                                                       .own = 130,
                                                       .events = 36,
                                                       .requestsPerSecond = 162,
                                                       .target = 400ms,
                                                       .timeout = 12s},
                                                      {.name = "large",
                                                       .priority = 1,
                                                       .shared = 10512,
                                                       .own = 1300,
                                                       .events = 48,
                                                       .requestsPerSecond = 95,
                                                       .target = 1000ms,
                                                       .timeout = 15s},
                                                      {.name = "short",
                                                       .priority = 2,
                                                       .shared = 2041,
                                                       .own = 360,
                                                       .events = 3,
                                                       .requestsPerSecond = 141,
                                                       .target = 500ms,
                                                       .timeout = 3s}}};
        return all;
    }
};

} // namespace Lagoonbank::Test
