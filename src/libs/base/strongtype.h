#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace Lagoonbank::Base {

/// An id stored as text. Ids with different tags do not convert to each other.
template<typename Tag>
class TextId
{
public:
    TextId() = default;
    explicit TextId(std::string value)
        : m_value(std::move(value))
    { }

    const std::string &value() const { return m_value; }
    bool empty() const { return m_value.empty(); }

    auto operator<=>(const TextId &) const = default;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(m_value);
    }

    template<typename H>
    friend H AbslHashValue(H h, const TextId &id) // NOLINT(readability-identifier-naming)
    {
        return H::combine(std::move(h), id.m_value);
    }

    friend std::ostream &operator<<(std::ostream &stream, const TextId &id)
    {
        return stream << id.m_value;
    }

private:
    std::string m_value;
};

/// A number with a distinct type, such as a count in some unit, a revision or an offset.
template<typename Tag, typename Rep>
class StrongNumber
{
public:
    constexpr StrongNumber() = default;
    constexpr explicit StrongNumber(Rep value)
        : m_value(value)
    { }

    constexpr Rep value() const { return m_value; }

    constexpr auto operator<=>(const StrongNumber &) const = default;

    constexpr StrongNumber &operator+=(StrongNumber other)
    {
        m_value += other.m_value;
        return *this;
    }
    constexpr StrongNumber &operator-=(StrongNumber other)
    {
        m_value -= other.m_value;
        return *this;
    }
    friend constexpr StrongNumber operator+(StrongNumber a, StrongNumber b) { return a += b; }
    friend constexpr StrongNumber operator-(StrongNumber a, StrongNumber b) { return a -= b; }

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(m_value);
    }

    template<typename H>
    friend H AbslHashValue(H h, StrongNumber number) // NOLINT(readability-identifier-naming)
    {
        return H::combine(std::move(h), number.m_value);
    }

    friend std::ostream &operator<<(std::ostream &stream, StrongNumber number)
    {
        return stream << number.m_value;
    }

private:
    Rep m_value{};
};

} // namespace Lagoonbank::Base

template<typename Tag>
struct std::hash<Lagoonbank::Base::TextId<Tag>>
{
    std::size_t operator()(const Lagoonbank::Base::TextId<Tag> &id) const noexcept
    {
        return std::hash<std::string>{}(id.value());
    }
};

template<typename Tag, typename Rep>
struct std::hash<Lagoonbank::Base::StrongNumber<Tag, Rep>>
{
    std::size_t operator()(Lagoonbank::Base::StrongNumber<Tag, Rep> number) const noexcept
    {
        return std::hash<Rep>{}(number.value());
    }
};
