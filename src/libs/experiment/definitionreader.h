#pragma once

#include "errors/result.h"
#include "experiment/definition.h"

#include <optional>
#include <string>

namespace Lagoonbank::Experiment {

struct ReadOptions
{
    std::string file;
    std::optional<std::uint64_t> seed; ///< Overrides the seed of the file.
    std::optional<double> seconds; ///< Overrides the length of the run given in the file.
    std::optional<int> net; ///< Overrides the second octet of all addresses of the deployment.
};

/// Reads an experiment and the deployment file it refers to. Errors are of the kind BadSettings
/// with the detail "file:line: message".
Errors::Result<Definition> readDefinition(const ReadOptions &options);

} // namespace Lagoonbank::Experiment
