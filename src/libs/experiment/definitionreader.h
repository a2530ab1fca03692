#pragma once

#include "errors/result.h"
#include "experiment/definition.h"

#include <optional>
#include <string>

namespace Lagoonbank::Experiment {

struct ReadOptions
{
    std::string file;
    std::optional<std::uint64_t> seed; ///< In place of the file's.
    std::optional<double> seconds; ///< In place of the file's.
    std::optional<int> net; ///< Second octet of all addresses in place of the deployment's.
};

/// Reads an experiment and the deployment that it names. An error is BadSettings with
/// "file:line: what is wrong".
Errors::Result<Definition> readDefinition(const ReadOptions &options);

} // namespace Lagoonbank::Experiment
