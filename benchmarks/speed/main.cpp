#include "speed/goal_reporter.h"

int main(int count, char** arguments)
{
    benchmark::Initialize(&count, arguments);
    if (benchmark::ReportUnrecognizedArguments(count, arguments))
        return 1;
    knapweed::bench::goal_reporter reporter;
    benchmark::RunSpecifiedBenchmarks(&reporter);
    reporter.print_ratios();
    reporter.print_goals();
    return 0;
}
