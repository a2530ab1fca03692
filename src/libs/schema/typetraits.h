#pragma once

#include "base/strongtype.h"

#include <map>
#include <optional>
#include <string>
#include <type_traits>
#include <vector>

/// Type traits with which readers and writers distinguish the kinds of field types.
namespace Lagoonbank::Schema::Internal {

template<typename T>
struct ListTrait : std::false_type
{ };
template<typename T>
struct ListTrait<std::vector<T>> : std::true_type
{ };
template<typename T>
struct MapTrait : std::false_type
{ };
template<typename T>
struct MapTrait<std::map<std::string, T>> : std::true_type
{ };
template<typename T>
struct OptionalTrait : std::false_type
{ };
template<typename T>
struct OptionalTrait<std::optional<T>> : std::true_type
{ };
template<typename T>
struct TextIdTrait : std::false_type
{ };
template<typename Tag>
struct TextIdTrait<Base::TextId<Tag>> : std::true_type
{ };
template<typename T>
struct NumberTrait : std::false_type
{ };
template<typename Tag, typename Rep>
struct NumberTrait<Base::StrongNumber<Tag, Rep>> : std::true_type
{
    using Value = Rep;
};

} // namespace Lagoonbank::Schema::Internal
