//===-- main.cpp - the laurelcroft command -----------------------------------===//
//
// Runs the operator command.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Operator/Operator.h"

int main(int argc, char **argv)
{
    return laurelcroft::runOperator(argc, argv);
}
