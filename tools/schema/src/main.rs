//! Writes the generated code of the operators' schema again.

use std::path::PathBuf;

fn main() {
    let schema = PathBuf::from("crates/operator/schema");
    let written = volo_build::Builder::protobuf()
        .add_service(schema.join("operator.proto"))
        .include_dirs(vec![schema])
        .out_dir("crates/operator/src")
        .filename(PathBuf::from("generated.rs"))
        .write();
    if let Err(error) = written {
        eprintln!("error: {error}");
        std::process::exit(1);
    }
}
